package idempotency

import (
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	// maintainInterval is the pause between two looks at the pool.
	maintainInterval = 100 * time.Millisecond
	// outageProbeInterval is the pause between two reads while the platform
	// doesn't answer.
	outageProbeInterval = time.Second
	// claimProbes bounds the slots tried by one claim.
	claimProbes = 4
	// clockMargin is added to the expiry of an object that another daemon wants
	// to use again. It only affects how long outcomes are kept.
	clockMargin = time.Minute
)

// PoolLimits bound the record objects.
type PoolLimits struct {
	// Slots is the number of record objects of the whole system.
	Slots int
	// RotateAfter is how long new tokens name the same object.
	RotateAfter time.Duration
	// SoftKeys is the number of keys above which new tokens name another object.
	SoftKeys int
}

// pool holds the objects that new tokens name. The recorder's lock guards it.
type pool struct {
	wanted  bool
	current *claimed
	spare   *claimed
	uses    uint64
}

// claimed is an object that this daemon has made ready.
type claimed struct {
	ref   Ref
	since time.Time
	held  *heldRecord
}

// SetWanted says whether any service needs recorded tokens.
func (r *Recorder) SetWanted(wanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.wanted = wanted
}

// Token returns a new recorded token; false if there is no object with room or
// the platform doesn't answer.
func (r *Recorder) Token(now time.Time, session uint64) (Token, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.health.down.Load() || !r.pool.rotate(now, r.options.Pool) {
		return Token{}, false
	}
	return Token{Kind: Recorded, Home: r.options.Self, Session: session, Record: r.pool.current.ref}, true
}

// rotate makes sure that the current object has room.
func (p *pool) rotate(now time.Time, limits PoolLimits) bool {
	if p.current.usable(now, limits) {
		return true
	}
	p.current, p.spare = p.spare, nil
	return p.current.usable(now, limits)
}

func (c *claimed) usable(now time.Time, limits PoolLimits) bool {
	if c == nil || now.Sub(c.since) >= limits.RotateAfter {
		return false
	}
	c.held.mu.Lock()
	defer c.held.mu.Unlock()
	return !c.held.record.Gone() && c.held.record.Keys() < limits.SoftKeys
}

// Run keeps the pool filled until stop is closed.
func (r *Recorder) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	probed := time.Time{}
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			if r.health.down.Load() && now.Sub(probed) < outageProbeInterval {
				continue
			}
			probed = now
			r.maintain(now)
		}
	}
}

// maintain drops unused records and claims an object if the pool needs one.
func (r *Recorder) maintain(now time.Time) {
	r.mu.Lock()
	r.dropUnused(now)
	if r.pool.wanted {
		r.pool.rotate(now, r.options.Pool)
	}
	needed := r.pool.wanted && (r.pool.current == nil || !r.pool.spare.usable(now, r.options.Pool))
	r.mu.Unlock()
	if needed {
		r.claim(now)
		return
	}
	if r.health.down.Load() {
		r.get(0)
	}
}

func (r *Recorder) dropUnused(now time.Time) {
	for ref, h := range r.held {
		if r.pool.holds(h) || !h.unused(now) {
			continue
		}
		h.timer.Stop()
		delete(r.held, ref)
	}
}

func (p *pool) holds(h *heldRecord) bool {
	return (p.current != nil && p.current.held == h) || (p.spare != nil && p.spare.held == h)
}

func (h *heldRecord) unused(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.used) > unusedLimit && h.record.Idle()
}

// claim makes one object ready.
func (r *Recorder) claim(now time.Time) {
	for range claimProbes {
		if c := r.claimSlot(now, rand.IntN(r.options.Pool.Slots)); c != nil {
			r.added(c)
			return
		}
		if r.health.down.Load() {
			return
		}
	}
}

// claimSlot uses a slot that is free or has expired; nil if it can't be used.
// A claim whose answer is lost is given up: the slot expires unused.
func (r *Recorder) claimSlot(now time.Time, slot int) *claimed {
	r.options.Rates.awaitRead()
	result, version, existing := r.get(slot)
	if result == Failed || (result == Found && now.Before(existing.ExpiresAt.Add(clockMargin))) {
		return nil
	}
	content := r.newContent(now)
	value, err := content.Encode()
	if err != nil {
		return nil
	}
	r.options.Rates.awaitWrite()
	r.counts.claims.Add(1)
	r.counts.writtenBytes.Add(uint64(len(value)))
	if result == NotFound {
		version, err = r.options.Store.Create(objectKey(slot), value)
	} else {
		version, err = r.options.Store.Update(objectKey(slot), version, value)
	}
	r.health.note(err)
	if err != nil {
		return nil
	}
	ref := Ref{Slot: slot, Generation: content.Generation}
	h := r.find(now, ref, true)
	if h == nil {
		return nil
	}
	h.event(func(time.Time) []Action {
		h.record.Claimed(version, content)
		return nil
	})
	return &claimed{ref: ref, since: now, held: h}
}

func (r *Recorder) newContent(now time.Time) *Content {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.uses++
	return &Content{
		Generation: r.options.Self.Incarnation + "-" + strconv.FormatUint(r.pool.uses, numberBase),
		ExpiresAt:  now.Add(r.options.Pool.RotateAfter + TokenLifetime).UTC(),
		Entries:    map[string]entry{},
	}
}

func (r *Recorder) added(c *claimed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pool.current == nil {
		r.pool.current = c
		return
	}
	r.pool.spare = c
}

// RecorderState is the recorder in a dump.
type RecorderState struct {
	// Ready is set while new tokens can be recorded ones.
	Ready bool `json:"ready"`
	// PlatformDown is set while the platform doesn't answer.
	PlatformDown bool `json:"platform_down"`
	// Records is the number of records in memory.
	Records int `json:"records"`
	// Keys is the number of keys in the current object.
	Keys int `json:"keys"`
	// WritesPerSecond is this daemon's share of the platform's writes.
	WritesPerSecond float64 `json:"writes_per_second"`
	// Groups counts group writes, resent ones included.
	Groups uint64 `json:"groups"`
	// WrittenBytes counts the bytes of objects in group writes and claims.
	WrittenBytes uint64 `json:"written_bytes"`
	// Reads counts reads of objects.
	Reads uint64 `json:"reads"`
	// Claims counts objects made ready.
	Claims uint64 `json:"claims"`
	// Conflicts counts writes that found a newer version.
	Conflicts uint64 `json:"conflicts"`
	// Uncertain counts writes whose answer was lost.
	Uncertain uint64 `json:"uncertain"`
}

// State returns the recorder's state.
func (r *Recorder) State() RecorderState {
	state := RecorderState{
		PlatformDown:    r.health.down.Load(),
		WritesPerSecond: r.options.Rates.writesPerSecond(),
		Groups:          r.counts.groups.Load(),
		WrittenBytes:    r.counts.writtenBytes.Load(),
		Reads:           r.counts.reads.Load(),
		Claims:          r.counts.claims.Load(),
		Conflicts:       r.counts.conflicts.Load(),
		Uncertain:       r.counts.uncertain.Load(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state.Records = len(r.held)
	if current := r.pool.current; current != nil {
		current.held.mu.Lock()
		state.Keys = current.held.record.Keys()
		current.held.mu.Unlock()
	}
	state.Ready = !state.PlatformDown && r.pool.current.usable(time.Now(), r.options.Pool)
	return state
}
