package quota

import "time"

// bucket is the token bucket of a workspace at the owner.
type bucket struct {
	limit    Limit
	capacity float64
	tokens   float64
	at       time.Duration
}

// refill adds the tokens since the last call.
func (b *bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.tokens+b.limit.Rate*(now-b.at).Seconds(), b.capacity)
	b.at = now
}

// setLimit applies a limit unless it is of an older revision.
func (b *bucket) setLimit(limit Limit, capacity float64) {
	if limit.Revision <= b.limit.Revision {
		return
	}
	b.limit, b.capacity = limit, capacity
	b.tokens = min(b.tokens, capacity)
}

// take takes up to count whole tokens and returns their number.
func (b *bucket) take(count int) int {
	taken := max(min(count, int(b.tokens)), 0)
	b.tokens -= float64(taken)
	return taken
}

// full reports whether the bucket is full, so that a new one would be no fuller.
func (b *bucket) full() bool { return b.tokens >= b.capacity }

// buckets are the buckets of all workspaces during one lease.
type buckets struct {
	bound Bound
	// freeSince is a time from which certainly nobody else has granted permits. The buckets have
	// been filling since then.
	freeSince   time.Duration
	byWorkspace map[string]*bucket
}

// grant returns the number of permits granted for an item.
func (b *buckets) grant(now time.Duration, item AskItem) int {
	limit := Limit{Rate: item.Rate, Burst: item.Burst, Revision: item.Revision}
	known := b.byWorkspace[item.Workspace]
	if known == nil {
		known = b.add(item.Workspace, limit)
	}
	known.refill(now)
	known.setLimit(limit, b.bound.capacity(limit))
	known.tokens -= float64(item.Used)
	return known.take(item.Count)
}

func (b *buckets) add(workspace string, limit Limit) *bucket {
	capacity := b.bound.capacity(limit)
	added := &bucket{limit: limit, capacity: capacity, tokens: min(b.bound.initial(), capacity), at: b.freeSince}
	b.byWorkspace[workspace] = added
	return added
}

// prune removes full buckets.
func (b *buckets) prune(now time.Duration) {
	for workspace, known := range b.byWorkspace {
		known.refill(now)
		if known.full() && now-b.freeSince > forgetAfter && known.fillsWithin(forgetAfter) {
			delete(b.byWorkspace, workspace)
		}
	}
}

// fillsWithin reports whether an empty bucket becomes full within a time.
func (b *bucket) fillsWithin(period time.Duration) bool {
	return b.capacity < b.limit.Rate*period.Seconds()
}
