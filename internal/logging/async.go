package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxPending bounds the lines that wait to be written.
const maxPending = 512

// Async writes lines to a writer that may stall, from a goroutine of its own: Write never
// waits for it. Lines that don't fit into the bound are dropped, and counted in a line of
// their own once there is room again. It is safe for concurrent use.
type Async struct {
	out     io.Writer
	pending chan []byte
	dropped atomic.Int64
	// closing is closed by Close, done once all that was pending is written.
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewAsync returns a writer to out.
func NewAsync(out io.Writer) *Async {
	a := &Async{
		out:     out,
		pending: make(chan []byte, maxPending),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go a.run()
	return a
}

// Write implements io.Writer. It takes the line or drops it, and returns at once.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.pending <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that no line has told of.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what is pending, for limit at most. It returns false if it didn't get that
// far. Lines that come later are not written.
func (a *Async) Close(limit time.Duration) bool {
	a.once.Do(func() { close(a.closing) })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-a.done:
		return true
	case <-timer.C:
		return false
	}
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.pending:
			a.write(line)
		case <-a.closing:
			a.drain()
			return
		}
	}
}

// drain writes what is pending.
func (a *Async) drain() {
	for {
		select {
		case line := <-a.pending:
			a.write(line)
		default:
			return
		}
	}
}

// write writes a line with those that wait behind it in one call.
func (a *Async) write(line []byte) {
	for range len(a.pending) {
		line = append(line, <-a.pending...)
	}
	if dropped := a.dropped.Swap(0); dropped > 0 {
		line = fmt.Appendf(line, "time=%q level=warning msg=\"log lines dropped\" dropped=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
	}
	// There is nowhere to tell of a log that can't be written.
	_, _ = a.out.Write(line)
}
