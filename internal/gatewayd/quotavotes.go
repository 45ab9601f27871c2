package gatewayd

import (
	"sync"

	"github.com/poplarwheel/poplarwheel/internal/quota"
)

// voteCalls holds at most one request for a vote under way to each daemon. Otherwise a daemon that
// is cut off would open connections to all others in each round, and run out of descriptors. It is
// safe for concurrent use.
type voteCalls struct {
	mu sync.Mutex
	// byAddress are the daemons with a request under way, and the release to send after it, or
	// nil.
	byAddress map[string]*quota.Release
}

// begin records a request. It returns false if one is under way.
func (c *voteCalls) begin(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, underWay := c.byAddress[address]
	if !underWay {
		c.byAddress[address] = nil
	}
	return !underWay
}

// end records the end of a request and returns the release to send now, or nil.
func (c *voteCalls) end(address string) *quota.Release {
	c.mu.Lock()
	defer c.mu.Unlock()
	release := c.byAddress[address]
	delete(c.byAddress, address)
	return release
}

// postpone keeps a release for the end of the request that is under way. It returns false if there
// is none.
func (c *voteCalls) postpone(address string, release *quota.Release) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, underWay := c.byAddress[address]; !underWay {
		return false
	}
	c.byAddress[address] = release
	return true
}
