package targetclient

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// loopPools holds the connections of one event loop by target address. It is accessed only
// on that loop.
type loopPools struct {
	loop  gnet.EventLoop
	pools map[string]*pool
}

// pool holds the connections of one event loop to one target.
type pool struct {
	address string
	rules   *Rules
	// open counts the connections of all event loops to the target.
	open *atomic.Int64
	// openTotal counts the connections of all event loops to all targets.
	openTotal *atomic.Int64
	// idle is ordered by the time of last use, oldest first.
	idle []*targetConn
	// busy holds the connections with an exchange in progress.
	busy map[*targetConn]struct{}
}

// closeLongestIdle closes the connection that has been idle longest. It returns false if
// none is idle.
func (l *loopPools) closeLongestIdle() bool {
	var longest *pool
	for _, p := range l.pools {
		if len(p.idle) > 0 && (longest == nil || p.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = p
		}
	}
	return longest != nil && l.closeIdle(longest.address)
}

// reserve counts one more open connection. It returns false if limit connections are
// already open; 0 means no limit.
func (p *pool) reserve(limit int) bool {
	if open := p.open.Add(1); limit > 0 && open > int64(limit) {
		p.open.Add(-1)
		return false
	}
	p.openTotal.Add(1)
	return true
}

// unreserve counts one open connection less.
func (p *pool) unreserve() {
	p.open.Add(-1)
	p.openTotal.Add(-1)
}

// closeIdle closes the connection to a target that has been idle longest. It returns false
// if none is idle.
func (l *loopPools) closeIdle(address string) bool {
	p := l.pools[address]
	if p == nil || len(p.idle) == 0 {
		return false
	}
	conn := p.idle[0]
	p.idle = p.idle[1:]
	conn.close()
	return true
}

// get removes and returns the most recently used idle connection that can be reused for an
// attempt, or nil. It closes those that can't be reused at all.
func (p *pool) get(attempt *Attempt) *targetConn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		if attempt.usedBefore(conn) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if conn.reusable() {
			return conn
		}
		conn.close()
	}
	return nil
}

// sweep applies the timeouts to all connections and deletes pools without connections.
func (l *loopPools) sweep(now time.Time) {
	for address, p := range l.pools {
		p.sweepIdle(now)
		p.sweepBusy(now)
		if len(p.idle) == 0 && len(p.busy) == 0 && p.open.Load() == 0 {
			delete(l.pools, address)
		}
	}
}

// sweepIdle closes connections that have been idle too long. It stops at the first, in the
// order of last use, that may be kept.
func (p *pool) sweepIdle(now time.Time) {
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.idle[0].idleTimeout {
		conn := p.idle[0]
		p.idle = p.idle[1:]
		conn.close()
	}
}

// sweepBusy fails exchanges that are past their deadlines.
func (p *pool) sweepBusy(now time.Time) {
	for conn := range p.busy {
		if conn.current != nil && now.After(conn.current.deadline) {
			conn.fail(ErrTimeout)
		}
	}
}

func (l *loopPools) closeAllIdle() {
	for address, p := range l.pools {
		for len(p.idle) > 0 {
			l.closeIdle(address)
		}
	}
}
