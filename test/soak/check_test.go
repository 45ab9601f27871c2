package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func after(seconds float64) time.Time {
	return noon.Add(time.Duration(seconds * float64(time.Second)))
}

// goodHistory is a run in which every promise was kept.
func goodHistory() (*history, []targetd.Event) {
	h := &history{
		started: noon,
		ended:   after(10),
		budget:  1,
		bookings: []*booking{{Key: "k", Answers: []answer{
			{Entry: "e", Sent: after(1), At: after(1.2), Outcome: client.Unknown},
			{Entry: "e", Sent: after(2), At: after(2.1), Outcome: client.Ran, Status: 200, Resend: 1},
		}}},
		reads:       []answer{{Entry: "e", Sent: after(1), At: after(1.1), Outcome: client.Ran, Status: 200}},
		leaves:      []leave{{Target: "t", From: after(3), To: after(9.5)}},
		sightings:   []sighting{{Entry: "e", Revision: 1}, {Entry: "e", Revision: 0}, {Entry: "e", Revision: 2}},
		acceptances: []acceptance{{Revision: 1}, {Revision: 2}},
		settled:     map[string]uint64{"e": 2},
	}
	events := []targetd.Event{
		{Kind: targetd.EventBegan, Target: "t", At: after(1.1), Key: "k"},
		{Kind: targetd.EventFinished, Target: "t", At: after(1.15), Key: "k"},
		{Kind: targetd.EventRefused, Target: "t", At: after(4)},
		{Kind: targetd.EventProbed, Target: "t", At: after(4)},
	}
	return h, events
}

func TestGoodHistoryHasNoBreach(t *testing.T) {
	h, events := goodHistory()
	require.Empty(t, check(h, events))
	require.Empty(t, checkCrashes(events))
}

// TestEachBreachIsSeen breaks one promise at a time.
func TestEachBreachIsSeen(t *testing.T) {
	cases := map[string]func(h *history, events []targetd.Event) []targetd.Event{
		"runs at most once": func(_ *history, events []targetd.Event) []targetd.Event {
			return append(events, targetd.Event{Kind: targetd.EventBegan, Target: "u", At: after(2), Key: "k"})
		},
		"nothing vanishes": func(_ *history, events []targetd.Event) []targetd.Event { return events[2:] },
		"not run is true": func(h *history, events []targetd.Event) []targetd.Event {
			h.bookings[0].Answers[1].Outcome = client.NotRun
			return events
		},
		"whole answer to its own request": func(h *history, events []targetd.Event) []targetd.Event {
			h.reads[0].Wrong = "answer to another request"
			return events
		},
		"no request in flight is cut off": func(h *history, events []targetd.Event) []targetd.Event {
			h.reads[0].Cut = true
			return events
		},
		"a leaving target gets no new work": func(_ *history, events []targetd.Event) []targetd.Event {
			return append(events, targetd.Event{Kind: targetd.EventRefused, Target: "t", At: after(8.5)})
		},
		"configuration never steps back": func(h *history, events []targetd.Event) []targetd.Event {
			h.sightings = append(h.sightings, sighting{Entry: "e", Incarnation: "next", Revision: 1})
			return events
		},
		"one acceptance a revision": func(h *history, events []targetd.Event) []targetd.Event {
			h.acceptances = append(h.acceptances, acceptance{Revision: 2, By: "other"})
			return events
		},
		"accepted is in force everywhere": func(h *history, events []targetd.Event) []targetd.Event {
			h.settled["f"] = 1
			return events
		},
		"measuring stays within its budget": func(_ *history, events []targetd.Event) []targetd.Event {
			for range 20 {
				events = append(events, targetd.Event{Kind: targetd.EventProbed, Target: "t", At: after(5)})
			}
			return events
		},
		"inside a daemon": func(h *history, events []targetd.Event) []targetd.Event {
			h.logged = []string{"invariant breached"}
			return events
		},
	}
	for invariant, damage := range cases {
		t.Run(invariant, func(t *testing.T) {
			h, events := goodHistory()
			breaches := check(h, damage(h, events))
			require.NotEmpty(t, breaches)
			for _, b := range breaches {
				require.Equal(t, invariant, b.Invariant)
			}
		})
	}
}

func TestRequestThatKeepsCrashingIsSeen(t *testing.T) {
	var events []targetd.Event
	for range crashLimit + 1 {
		events = append(events, targetd.Event{Kind: targetd.EventBegan, Path: crashPath + "1"})
	}
	require.Len(t, checkCrashes(events), 1)
	require.Empty(t, checkCrashes(events[1:]))
}

func TestScheduleDependsOnTheSeedAlone(t *testing.T) {
	require.Equal(t, newSchedule(7, time.Minute, 13, 12), newSchedule(7, time.Minute, 13, 12))
	require.NotEqual(t, newSchedule(7, time.Minute, 13, 12), newSchedule(8, time.Minute, 13, 12))
}
