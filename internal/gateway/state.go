package gateway

import (
	"maps"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/hedging"
	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// State is a snapshot of a gateway.
type State struct {
	// Revision is the revision of the active configuration, or 0 without one.
	Revision uint64 `json:"revision"`
	Routes   int    `json:"routes"`
	// Workspaces are those of the active configuration, without their keys.
	Workspaces []WorkspaceState `json:"workspaces,omitempty"`
	// Shares are the daemon's shares of the budgets that all daemons have in common.
	Shares Shares `json:"shares"`
	Counts Counts `json:"counts"`
	// ResponseBytes is the size of the incomplete responses of targets.
	ResponseBytes int64          `json:"response_bytes"`
	Services      []ServiceState `json:"services"`
	// Evacuated are the availability zones whose targets get no requests.
	Evacuated []string `json:"evacuated,omitempty"`
}

// ServiceState is a snapshot of a service's pool.
type ServiceState struct {
	Name string `json:"name"`
	// Queued is the number of requests that wait for a target.
	Queued  int                     `json:"queued"`
	Targets []placement.TargetState `json:"targets"`
	// Hedges is nil if only the retry budget limits hedges.
	Hedges *hedging.Counts `json:"hedges,omitempty"`
}

// WorkspaceState is a snapshot of a workspace.
type WorkspaceState struct {
	Name string `json:"name"`
	// Keys is the number of its keys.
	Keys int `json:"keys"`
	// Priority is that of its requests, nil for that of the route.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond and Burst are the quota over all daemons together, 0 without a limit.
	RatePerSecond float64 `json:"rate_per_s,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// State returns a snapshot, taken on the event loop. It waits while the loop is busy, and
// returns a zero State after stateTimeout.
func (g *Gateway) State() State {
	result := make(chan State, 1)
	g.runOnLoop(func() { result <- g.state(time.Now()) })
	select {
	case state := <-result:
		return state
	case <-time.After(stateTimeout):
		return State{}
	}
}

// stateTimeout bounds the wait for an event loop that is shutting down.
const stateTimeout = 2 * time.Second

func (g *Gateway) state(now time.Time) State {
	state := State{Revision: g.Revision(), Shares: g.shares, Counts: g.counts, ResponseBytes: g.client.BufferedBytes()}
	state.Counts.Violations = maps.Clone(g.counts.Violations)
	state.Counts.Unauthenticated = maps.Clone(g.counts.Unauthenticated)
	if g.table != nil {
		state.Routes = len(g.table.Routes())
		state.Workspaces = workspaceStates(g.table.Workspaces())
	}
	state.Evacuated = g.evacuated
	for name, s := range g.services {
		service := ServiceState{Name: name, Queued: s.pool.Queued(), Hedges: copyOf(s.pool.HedgeCounts())}
		for _, t := range s.pool.Targets() {
			service.Targets = append(service.Targets, t.State(now))
		}
		state.Services = append(state.Services, service)
	}
	return state
}

func workspaceStates(workspaces []*route.Workspace) []WorkspaceState {
	var states []WorkspaceState
	for _, w := range workspaces {
		states = append(states, WorkspaceState{
			Name:          w.Name,
			Keys:          len(w.Keys),
			Priority:      w.Priority,
			RatePerSecond: w.Quota.Rate,
			Burst:         w.Quota.Burst,
		})
	}
	return states
}

// copyOf returns a copy of the counts of hedges that can be read outside the event loop.
func copyOf(counts *hedging.Counts) *hedging.Counts {
	if counts == nil {
		return nil
	}
	copied := *counts
	copied.Suppressed = maps.Clone(counts.Suppressed)
	return &copied
}
