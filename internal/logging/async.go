package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the lines that wait to be written.
const maxQueuedLines = 512

// AsyncWriter writes lines to an underlying writer from its own goroutine, so that Write
// never blocks when that writer stalls. Lines that exceed the queue are dropped; the
// number dropped is logged once the writer accepts lines again. It is safe for
// concurrent use.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, done after all queued lines have been written.
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewAsyncWriter returns an AsyncWriter for out and starts its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		out:     out,
		queue:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go a.run()
	return a
}

// Write implements io.Writer. It queues or drops the line without blocking.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines. It waits for at most timeout and returns false if lines
// are left by then. Lines written later are lost.
func (a *AsyncWriter) Close(timeout time.Duration) bool {
	a.closeOnce.Do(func() { close(a.closing) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-a.done:
		return true
	case <-timer.C:
		return false
	}
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.queue:
			a.writeBatch(line)
		case <-a.closing:
			a.flush()
			return
		}
	}
}

// flush writes all queued lines.
func (a *AsyncWriter) flush() {
	for {
		select {
		case line := <-a.queue:
			a.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line and the lines queued behind it in one call.
func (a *AsyncWriter) writeBatch(line []byte) {
	for range len(a.queue) {
		line = append(line, <-a.queue...)
	}
	if dropped := a.dropped.Swap(0); dropped > 0 {
		line = fmt.Appendf(line, "time=%q level=warning msg=\"log lines dropped\" dropped=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
	}
	// An error of the log's own writer can't be reported anywhere.
	_, _ = a.out.Write(line)
}
