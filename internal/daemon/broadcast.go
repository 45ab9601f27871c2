package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
	"github.com/poplarwheel/poplarwheel/internal/membership"
)

const (
	// deliveryLimit bounds the time for which a message to a peer is tried again.
	deliveryLimit = 5 * time.Second
	// deliveryTimeout bounds one try.
	deliveryTimeout = time.Second
	// deliveryRetryBase and deliveryRetryMax bound the pauses between tries.
	deliveryRetryBase = 50 * time.Millisecond
	deliveryRetryMax  = 500 * time.Millisecond
)

// broadcast calls a method at every other entry VM that isn't dead. It returns
// the names of those that haven't answered within wait, and goes on trying to reach
// them for deliveryLimit. Each answer is passed to answered, from a goroutine of its
// own, before its sender counts as reached; nil ignores answers.
func (d *Daemon) broadcast(wait time.Duration, method string, params any, answered func(json.RawMessage)) []string {
	ctx, cancel := context.WithTimeout(context.Background(), max(wait, deliveryLimit))
	members := d.reachable()
	waiting := newRecipients(members)
	var deliveries sync.WaitGroup
	for _, member := range members {
		deliveries.Go(func() {
			answer, delivered := d.deliver(ctx, member, method, params)
			if !delivered {
				return
			}
			if answered != nil {
				answered(answer)
			}
			waiting.reached(member.Name)
		})
	}
	go func() {
		deliveries.Wait()
		cancel()
	}()
	return waiting.await(wait)
}

// reachable returns the other entry VMs that aren't dead.
func (d *Daemon) reachable() []membership.Member {
	return slices.DeleteFunc(d.members.list(), func(member membership.Member) bool {
		return member.Name == d.settings.Name || member.State == membership.Dead
	})
}

// deliver calls a method at a member until it answers or ctx is done; false means that
// it has not answered.
func (d *Daemon) deliver(ctx context.Context, member membership.Member, method string, params any) (json.RawMessage, bool) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	pause := backoff.Backoff{Base: deliveryRetryBase, Max: deliveryRetryMax}
	for ctx.Err() == nil && !d.stopping() {
		var answer json.RawMessage
		if d.callMember(ctx, member, method, params, &answer) == nil {
			return answer, true
		}
		d.sleep(pause.Next(rng))
	}
	return nil, false
}

// callMember calls a method at a member once. The error is a *peer.CallError.
func (d *Daemon) callMember(ctx context.Context, member membership.Member, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	return d.peerClient.Call(ctx, d.members.address(member.IP), method, params, result)
}

// recipients are the members that haven't answered a message.
type recipients struct {
	mu    sync.Mutex
	names map[string]bool
	// done is closed once all have answered.
	done chan struct{}
}

func newRecipients(members []membership.Member) *recipients {
	r := &recipients{names: make(map[string]bool, len(members)), done: make(chan struct{})}
	for _, member := range members {
		r.names[member.Name] = true
	}
	if len(members) == 0 {
		close(r.done)
	}
	return r
}

func (r *recipients) reached(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.names, name)
	if len(r.names) == 0 {
		close(r.done)
	}
}

// await waits for all to answer and returns the names of those that haven't.
func (r *recipients) await(wait time.Duration) []string {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	}
	return r.left()
}

func (r *recipients) left() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name := range r.names {
		names = append(names, name)
	}
	return names
}
