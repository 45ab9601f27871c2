package placement

import "time"

// When requests of several workspaces wait for too few targets, each workspace gets its share of
// them: one that sends many times its usual load waits behind its own requests, not the others
// behind it. The queue serves the flow first that has used least of its share, inside one priority.
// Requests without a flow keep the order of their soft deadlines.

// Flow is a workspace among those that compete for the targets of a service.
type Flow struct {
	// Name is the workspace; empty if the request belongs to none.
	Name string
	// Weight is the share relative to other flows. It must be positive.
	Weight float64
}

// flowUse is what a flow has used of its share.
type flowUse struct {
	// runtime is the execution time of the requests that were sent, divided by the weight.
	runtime time.Duration
	// waiting counts the flow's requests in the queue.
	waiting int
}

// fairShares holds the use of the flows of one service. It is not safe for concurrent use.
type fairShares struct {
	flows map[string]*flowUse
	// floor is the runtime of the flow that was served last. A flow that has not sent requests for a
	// while doesn't save up its share, and starts from here.
	floor time.Duration
}

// maxIdleFlows is the number of flows from which those without waiting requests are dropped.
const maxIdleFlows = 64

// join connects a new request to its flow.
func (s *fairShares) join(r *Request) {
	if r.Flow.Name == "" {
		return
	}
	r.use = s.find(r.Flow.Name)
	if r.use.waiting == 0 {
		r.use.runtime = max(r.use.runtime, s.floor)
	}
}

// add records that a request waits.
func (s *fairShares) add(r *Request) {
	if r.use != nil {
		r.use.waiting++
	}
}

// find returns the use of a flow, and adds the flow if it isn't known.
func (s *fairShares) find(name string) *flowUse {
	if use := s.flows[name]; use != nil {
		return use
	}
	if s.flows == nil {
		s.flows = map[string]*flowUse{}
	}
	if len(s.flows) >= maxIdleFlows {
		s.dropIdle()
	}
	use := &flowUse{}
	s.flows[name] = use
	return use
}

func (s *fairShares) dropIdle() {
	for name, use := range s.flows {
		if use.waiting == 0 && use.runtime <= s.floor {
			delete(s.flows, name)
		}
	}
}

// remove records that a request doesn't wait any longer.
func (s *fairShares) remove(r *Request) {
	if r.use != nil {
		r.use.waiting--
	}
}

// charge records that a waiting request is sent. Only its first send counts.
func (s *fairShares) charge(r *Request) {
	if r.use == nil || len(r.tried) > 0 {
		return
	}
	s.floor = max(s.floor, r.use.runtime)
	r.use.runtime += time.Duration(float64(r.ServiceTime) / r.Flow.Weight)
}

// fairOrder compares two requests by what their flows have used, negative if the first one's used less.
func (r *Request) fairOrder(other *Request) time.Duration {
	if r.use == nil || other.use == nil {
		return 0
	}
	return r.use.runtime - other.use.runtime
}
