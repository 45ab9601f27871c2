package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkCall measures a call whose first attempt succeeds.
func BenchmarkCall(b *testing.B) {
	s := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	if err := s.Configure(testService(10)); err != nil {
		b.Fatal(err)
	}
	requestType := waitingRead(50)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		call := &Call{Type: requestType, Deadline: now.Add(time.Second), Attempts: 3}
		attempt := s.Arrive(now, call)[0].Attempt
		s.FinishAttempt(now, attempt, Result{Kind: Answered, Answer: "good"})
	}
}
