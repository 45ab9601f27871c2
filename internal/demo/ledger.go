package demo

import (
	"errors"
	"sync"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

// ledger is what the callers of non-idempotent requests were told. It is safe
// for concurrent use.
type ledger struct {
	mu       sync.Mutex
	outcomes map[string]client.Outcome
	lost     int
}

func newLedger() *ledger { return &ledger{outcomes: map[string]client.Outcome{}} }

func (l *ledger) record(key string, outcome client.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[key] = outcome
}

// cut counts a request whose connection ended without an answer.
func (l *ledger) cut(err error) {
	var lost *client.LostError
	if !errors.As(err, &lost) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost++
}

// Audit compares what callers were told with what targets ran.
type Audit struct {
	// Keys is the number of non-idempotent requests.
	Keys int `json:"keys"`
	// RunTwice is the number that ran more than once.
	RunTwice int `json:"run_twice"`
	// Lost is the number that callers were told had run and no target ran.
	Lost int `json:"lost"`
	// NotRunButRan is the number that callers were told had not run and a target
	// ran.
	NotRunButRan int `json:"not_run_but_ran"`
	// Unknown is the number whose callers were left with an unknown outcome.
	Unknown int `json:"unknown"`
	// Cut is the number of requests whose connection ended without an answer.
	Cut int `json:"cut"`
}

// audit adds the ledger's part to an audit.
func (l *ledger) audit(runs map[string]int, audit *Audit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	audit.Cut += l.lost
	for key, outcome := range l.outcomes {
		audit.Keys++
		ran := runs[key]
		if ran > 1 {
			audit.RunTwice++
		}
		switch {
		case outcome == client.Ran && ran == 0:
			audit.Lost++
		case outcome == client.NotRun && ran > 0:
			audit.NotRunButRan++
		case outcome == client.Unknown:
			audit.Unknown++
		}
	}
}

// runsByKey counts the runs of each idempotency key.
func runsByKey(journals ...[]targetd.Run) map[string]int {
	runs := map[string]int{}
	for _, journal := range journals {
		for _, run := range journal {
			if run.Key != "" {
				runs[run.Key]++
			}
		}
	}
	return runs
}
