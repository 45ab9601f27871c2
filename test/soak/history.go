package main

import (
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/client"
)

// answer is what a caller learned from one send of a request.
type answer struct {
	Entry   string
	Resend  int
	Sent    time.Time
	At      time.Time
	Outcome client.Outcome
	// Status is the HTTP status of the answer.
	Status int
	Reason string
	// Failure is the error of a send without an answer.
	Failure string
	// Cut is set if the connection was lost after the request was sent.
	Cut bool
	// Wrong says what is wrong with an answer of a target, or is empty.
	Wrong string
}

// booking is one non-idempotent request with all its sends.
type booking struct {
	Key     string
	Service string
	Answers []answer
}

// leave is the time during which a target was leaving.
type leave struct {
	Target string
	From   time.Time
	To     time.Time
}

// sighting is the revision that a daemon was seen to have in force.
type sighting struct {
	Entry       string
	Incarnation string
	Revision    uint64
	At          time.Time
}

// violence is the time during which an entry VM was killed or frozen.
type violence struct {
	Entry string
	From  time.Time
	To    time.Time
}

// acceptance is an accepted revision.
type acceptance struct {
	Revision uint64
	By       string
	At       time.Time
}

// history is what happened in a run, as seen from outside the daemons. It is
// safe for concurrent use.
type history struct {
	mu          sync.Mutex
	started     time.Time
	ended       time.Time
	bookings    []*booking
	reads       []answer
	leaves      []leave
	sightings   []sighting
	violence    []violence
	acceptances []acceptance
	// settled is the revision of each entry daemon at the end.
	settled map[string]uint64
	// budget is the measuring budget of all services, in probes per second.
	budget float64
	// logged are the lines in which daemons report a breach.
	logged []string
}

// add appends an item to one of the history's lists.
func add[T any](h *history, list *[]T, item T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, item)
}

func (h *history) addBooking(b *booking)      { add(h, &h.bookings, b) }
func (h *history) addRead(a answer)           { add(h, &h.reads, a) }
func (h *history) addLeave(l leave)           { add(h, &h.leaves, l) }
func (h *history) addSighting(s sighting)     { add(h, &h.sightings, s) }
func (h *history) addViolence(v violence)     { add(h, &h.violence, v) }
func (h *history) addAcceptance(a acceptance) { add(h, &h.acceptances, a) }
