package placement

import "github.com/poplarwheel/poplarwheel/internal/invariant"

// enqueue adds a request to the queue.
func (p *Pool) enqueue(r *Request) {
	r.queued = true
	p.fair.add(r)
	p.queue = append(p.queue, r)
	if len(p.queue) > 2*maxQueued {
		invariant.Breached(invariant.QueueBounded, "%d requests queued", len(p.queue))
	}
}

// stopWaiting marks a request as no longer queued; the caller removes it from the queue.
func (p *Pool) stopWaiting(r *Request) {
	if r.queued {
		r.queued = false
		p.fair.remove(r)
	}
}

// dequeue removes a request from the queue, if it is there.
func (p *Pool) dequeue(r *Request) {
	if !r.queued {
		return
	}
	p.stopWaiting(r)
	p.queue = remove(p.queue, r)
}
