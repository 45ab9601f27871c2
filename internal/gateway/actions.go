package gateway

import "github.com/poplarwheel/poplarwheel/internal/placement"

// maxActions is the number of actions of one event that are copied to the stack.
const maxActions = 16

// perform carries out the actions that a service's pool returned for one event. It copies
// them first: they are valid only until the next event of the pool, and performing an action
// may lead to one.
func (g *Gateway) perform(s *service, actions []placement.Action) {
	var buffer [maxActions]placement.Action
	for _, action := range append(buffer[:0], actions...) {
		switch action.Kind {
		case placement.Probe:
			g.probe(s, action.Target)
		case placement.Send:
			if !action.Attempt.Canceled() {
				action.Request.Payload.(*call).send(action.Attempt)
			}
		case placement.Cancel:
			if sent, ok := action.Attempt.Handle.(*attempt); ok {
				sent.cancel()
			}
		default:
			action.Request.Payload.(*call).respond(action)
		}
	}
	if at := s.pool.NextTick(); !at.IsZero() {
		g.timers.set(s.expiry, at)
		return
	}
	g.timers.stop(s.expiry)
}
