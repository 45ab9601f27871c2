package targetd

import (
	"encoding/json"
	"time"
)

// EventKind says what a target did with a request.
type EventKind string

// Kinds of events.
const (
	// EventBegan is written before a request runs.
	EventBegan EventKind = "began"
	// EventFinished is written before the answer is sent.
	EventFinished EventKind = "finished"
	// EventRefused is written for a request refused while the target is leaving.
	EventRefused EventKind = "refused"
	// EventProbed is written for a load report that was asked for.
	EventProbed EventKind = "probed"
)

// Event is one line of the journal that a target keeps outside of itself.
type Event struct {
	Kind      EventKind `json:"kind"`
	Target    string    `json:"target"`
	At        time.Time `json:"at"`
	Key       string    `json:"key,omitempty"`
	AttemptID string    `json:"attempt_id,omitempty"`
	Path      string    `json:"path,omitempty"`
}

// note writes an event to the journal.
func (t *Target) note(kind EventKind, run *Run) {
	if t.options.Journal == nil {
		return
	}
	event := Event{Kind: kind, Target: t.options.Name, At: time.Now(), Key: run.Key, AttemptID: run.AttemptID, Path: run.Path}
	line, err := json.Marshal(event)
	if err != nil {
		return
	}
	t.journalMu.Lock()
	defer t.journalMu.Unlock()
	_, _ = t.options.Journal.Write(append(line, '\n'))
}
