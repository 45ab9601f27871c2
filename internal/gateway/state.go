package gateway

import (
	"maps"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// State is a snapshot of a gateway.
type State struct {
	// Revision is the revision of the active configuration, or 0 without one.
	Revision uint64 `json:"revision"`
	Routes   int    `json:"routes"`
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
	if g.table != nil {
		state.Routes = len(g.table.Routes())
	}
	state.Evacuated = g.evacuated
	for name, s := range g.services {
		service := ServiceState{Name: name, Queued: s.pool.Queued()}
		for _, t := range s.pool.Targets() {
			service.Targets = append(service.Targets, t.State(now))
		}
		state.Services = append(state.Services, service)
	}
	return state
}
