package main

import (
	"fmt"
	"sync"
	"time"
)

// losses counts calls without a correct answer in time after the death of an
// entry VM.
type losses struct {
	mu     sync.Mutex
	killed time.Time
	calls  int
	lost   int
	before int
	last   time.Duration
}

func newLosses(killed time.Time) *losses { return &losses{killed: killed} }

func (l *losses) record(due time.Time, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if inTime {
		return
	}
	if due.Before(l.killed.Add(-agreed)) {
		l.before++
		return
	}
	l.lost++
	l.last = max(l.last, due.Sub(l.killed))
}

func (l *losses) print(k int) {
	fmt.Printf("k=%d calls=%d lost_before=%d lost=%d last_loss_after_ms=%d\n", k, l.calls, l.before, l.lost, l.last.Milliseconds())
}
