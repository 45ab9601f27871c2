package quota

import (
	"math"
	"slices"
	"time"
)

// Waiter is a request that waits for a permit.
type Waiter struct {
	// Payload identifies the request for the caller of Admit.
	Payload any
	account *account
	arrived time.Duration
}

// batch is a number of permits that expire together.
type batch struct {
	count   int
	expires time.Duration
}

// account is what a daemon knows of a workspace whose requests it receives.
type account struct {
	workspace string
	limit     Limit
	// stock are the permits in hand, those that expire first in front.
	stock   []batch
	waiters []*Waiter
	demand  demand
	usedAt  time.Duration
	// deniedUntil is set when the owner's bucket was empty. Until then it isn't asked.
	deniedUntil time.Duration
	// shortUntil is set with deniedUntil. Until then the workspace asks for more than its quota.
	shortUntil time.Duration
	startup    startupUse
	// fallbacks are the times of the last requests that were admitted without an owner.
	fallbacks []time.Duration
}

// inStock returns the number of valid permits and drops the others.
func (a *account) inStock(now time.Duration) int {
	a.stock = slices.DeleteFunc(a.stock, func(b batch) bool { return b.count == 0 || now >= b.expires })
	total := 0
	for _, b := range a.stock {
		total += b.count
	}
	return total
}

// take takes a permit from the stock.
func (a *account) take(now time.Duration) (Permit, bool) {
	for i := range a.stock {
		b := &a.stock[i]
		if b.count > 0 && now < b.expires {
			b.count--
			return Permit{workspace: a.workspace, expires: b.expires}, true
		}
	}
	return Permit{}, false
}

// add adds permits to the stock.
func (a *account) add(count int, expires time.Duration) {
	if count <= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(a.stock, expires, func(b batch, e time.Duration) int {
		return int(b.expires - e)
	})
	a.stock = slices.Insert(a.stock, at, batch{count: count, expires: expires})
}

// wanted returns the number of permits to ask for: those for the waiting requests and those that
// the recent demand needs during stockTime, unless at least half of them are in stock. A workspace
// with a small demand gets no stock, since it would expire unused.
func (a *account) wanted(now time.Duration) int {
	if now < a.deniedUntil {
		return 0
	}
	target := int(a.demand.rate(now) * stockTime.Seconds())
	if target < minStock {
		target = 0
	}
	stock := a.inStock(now)
	if len(a.waiters) == 0 && 2*stock >= target {
		return 0
	}
	return max(len(a.waiters)+target-stock, 0)
}

// remove removes a waiter. It returns false if it doesn't wait anymore.
func (a *account) remove(w *Waiter) bool {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}

// takeFallback reports whether a request may be admitted without an owner, at most allowed in any
// window.
func (a *account) takeFallback(now, window time.Duration, allowed int) bool {
	a.fallbacks = slices.DeleteFunc(a.fallbacks, func(at time.Duration) bool { return now-at > window })
	if len(a.fallbacks) >= allowed {
		return false
	}
	a.fallbacks = append(a.fallbacks, now)
	return true
}

// demand estimates the rate of requests.
type demand struct {
	// weight is the sum of the requests, each weighted by its age.
	weight float64
	at     time.Duration
}

func (d *demand) add(now time.Duration) {
	d.weight = d.decayed(now) + 1
	d.at = now
}

func (d *demand) decayed(now time.Duration) float64 {
	return d.weight * math.Exp(-(now-d.at).Seconds()/demandTime.Seconds())
}

// rate returns the rate in requests per second.
func (d *demand) rate(now time.Duration) float64 { return d.decayed(now) / demandTime.Seconds() }
