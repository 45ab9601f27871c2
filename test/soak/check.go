package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const (
	// leaveLimit is the time within which a leaving target gets no new work any
	// more.
	leaveLimit = 5 * time.Second
	// probeSlack is the number of seconds of budget that probes may be ahead of
	// the clock at either end of the run.
	probeSlack = 1.0
)

// breach is one broken promise.
type breach struct {
	Invariant string
	Detail    string
	// Trace lists what is known of the request.
	Trace []string
}

// String implements fmt.Stringer.
func (b breach) String() string {
	lines := append([]string{"BREACH " + b.Invariant + ": " + b.Detail}, b.Trace...)
	return strings.Join(lines, "\n    ")
}

// check returns every breach in a run.
func check(h *history, events []targetd.Event) []breach {
	byKey := eventsByKey(events)
	var breaches []breach
	for _, b := range h.bookings {
		breaches = append(breaches, checkBooking(b, byKey[b.Key])...)
	}
	breaches = append(breaches, checkReads(h)...)
	breaches = append(breaches, checkCuts(h)...)
	breaches = append(breaches, checkLeaves(h, events)...)
	breaches = append(breaches, checkRevisions(h)...)
	breaches = append(breaches, checkAcceptances(h)...)
	breaches = append(breaches, checkProbes(h, events)...)
	for _, line := range h.logged {
		breaches = append(breaches, breach{Invariant: "inside a daemon", Detail: line})
	}
	return breaches
}

func eventsByKey(events []targetd.Event) map[string][]targetd.Event {
	byKey := map[string][]targetd.Event{}
	for _, event := range events {
		if event.Key != "" {
			byKey[event.Key] = append(byKey[event.Key], event)
		}
	}
	return byKey
}

// checkBooking checks that a booking ran at most once and that what the caller
// was told is true.
func checkBooking(b *booking, events []targetd.Event) []breach {
	began := ofKind(events, targetd.EventBegan)
	finished := ofKind(events, targetd.EventFinished)
	var breaches []breach
	report := func(invariant, detail string) {
		breaches = append(breaches, breach{Invariant: invariant, Detail: detail, Trace: trace(b, events)})
	}
	if len(began) > 1 {
		report("runs at most once", fmt.Sprintf("booking %s began %d times", b.Key, len(began)))
	}
	for _, a := range b.Answers {
		if a.Wrong != "" {
			report("whole answer to its own request", a.Wrong)
		}
		if a.Outcome == client.Ran && a.Status == fasthttp.StatusOK && len(finished) == 0 {
			report("nothing vanishes", fmt.Sprintf("booking %s was answered and never ran", b.Key))
		}
		if a.Outcome == client.NotRun && a.Failure == "" && beganBefore(began, a.At) {
			report("not run is true", fmt.Sprintf("booking %s was called not run at %s", b.Key, clock(a.At)))
		}
	}
	return breaches
}

func beganBefore(began []targetd.Event, at time.Time) bool {
	for _, event := range began {
		if event.At.Before(at) {
			return true
		}
	}
	return false
}

func ofKind(events []targetd.Event, kind targetd.EventKind) []targetd.Event {
	var matching []targetd.Event
	for _, event := range events {
		if event.Kind == kind {
			matching = append(matching, event)
		}
	}
	return matching
}

func trace(b *booking, events []targetd.Event) []string {
	var lines []string
	for _, a := range b.Answers {
		lines = append(lines, fmt.Sprintf("send %d at %s to %s: %s %d %s %s at %s", a.Resend, clock(a.Sent), a.Entry, a.Outcome, a.Status, a.Reason, a.Failure, clock(a.At)))
	}
	return append(lines, eventLines(events)...)
}

func clock(at time.Time) string { return at.Format("15:04:05.000000") }

func checkReads(h *history) []breach {
	var breaches []breach
	for _, a := range h.reads {
		if a.Wrong != "" {
			breaches = append(breaches, breach{Invariant: "whole answer to its own request", Detail: a.Wrong})
		}
	}
	return breaches
}

// checkCuts checks that only entry VMs that were killed or frozen lost a
// connection with a request on it.
func checkCuts(h *history) []breach {
	var breaches []breach
	add := func(a answer) {
		if a.Cut && !h.violent(a) {
			detail := fmt.Sprintf("request sent to %s at %s was cut off at %s: %s", a.Entry, clock(a.Sent), clock(a.At), a.Failure)
			breaches = append(breaches, breach{Invariant: "no request in flight is cut off", Detail: detail})
		}
	}
	for _, a := range h.reads {
		add(a)
	}
	for _, b := range h.bookings {
		for _, a := range b.Answers {
			add(a)
		}
	}
	return breaches
}

// violent reports whether the answer's entry VM was killed or frozen meanwhile.
func (h *history) violent(a answer) bool {
	for _, v := range h.violence {
		if v.Entry == a.Entry && v.From.Before(a.At) && v.To.After(a.Sent) {
			return true
		}
	}
	return false
}

func checkLeaves(h *history, events []targetd.Event) []breach {
	var breaches []breach
	for _, l := range h.leaves {
		for _, event := range events {
			late := event.At.After(l.From.Add(leaveLimit)) && event.At.Before(l.To)
			work := event.Kind == targetd.EventRefused || event.Kind == targetd.EventBegan
			if event.Target == l.Target && late && work {
				detail := fmt.Sprintf("%s leaves since %s and got a request at %s, attempt %s", l.Target, clock(l.From), clock(event.At), event.AttemptID)
				breaches = append(breaches, breach{Invariant: "a leaving target gets no new work", Detail: detail})
				break
			}
		}
	}
	return breaches
}

// checkRevisions checks that no entry VM was seen to step back, restarts
// included.
func checkRevisions(h *history) []breach {
	highest := map[string]sighting{}
	var breaches []breach
	for _, s := range h.sightings {
		before := highest[s.Entry]
		if s.Revision < before.Revision && s.Revision > 0 {
			detail := fmt.Sprintf("%s had revision %d at %s (%s) and %d at %s (%s)", s.Entry, before.Revision, clock(before.At), before.Incarnation, s.Revision, clock(s.At), s.Incarnation)
			breaches = append(breaches, breach{Invariant: "configuration never steps back", Detail: detail})
		}
		if s.Revision > before.Revision {
			highest[s.Entry] = s
		}
	}
	return breaches
}

// checkAcceptances checks that a revision was accepted once and that the last
// one is in force everywhere.
func checkAcceptances(h *history) []breach {
	var breaches []breach
	by := map[uint64]acceptance{}
	var last uint64
	for _, a := range h.acceptances {
		if other, ok := by[a.Revision]; ok {
			detail := fmt.Sprintf("revision %d was accepted for %s and for %s", a.Revision, other.By, a.By)
			breaches = append(breaches, breach{Invariant: "one acceptance a revision", Detail: detail})
		}
		by[a.Revision] = a
		last = max(last, a.Revision)
	}
	for entry, revision := range h.settled {
		if revision < last {
			detail := fmt.Sprintf("%s has revision %d, %d was accepted", entry, revision, last)
			breaches = append(breaches, breach{Invariant: "accepted is in force everywhere", Detail: detail})
		}
	}
	return breaches
}

// checkProbes checks the measuring budget of the whole system.
func checkProbes(h *history, events []targetd.Event) []breach {
	probes := float64(len(ofKind(events, targetd.EventProbed)))
	allowed := h.budget * (h.ended.Sub(h.started).Seconds() + probeSlack)
	if probes <= allowed {
		return nil
	}
	detail := fmt.Sprintf("%.0f probes, the budget allows %.0f", probes, allowed)
	return []breach{{Invariant: "measuring stays within its budget", Detail: detail}}
}
