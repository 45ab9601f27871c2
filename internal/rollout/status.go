package rollout

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// Status is the follower's state for dumps.
type Status struct {
	Revision uint64 `json:"revision"`
	// Source is "platform" or the name of the peer that gave the revision.
	Source     string           `json:"source"`
	AppliedAt  time.Time        `json:"applied_at"`
	AcceptedBy string           `json:"accepted_by"`
	AcceptedAt time.Time        `json:"accepted_at"`
	AcceptID   string           `json:"accept_id"`
	Version    platform.Version `json:"platform_version"`
	Services   int              `json:"services"`
	// ReadFailures counts failed reads of the platform since the last success.
	ReadFailures int `json:"read_failures"`
	// HighestAtPeers is the highest revision heard of.
	HighestAtPeers uint64 `json:"highest_at_peers"`
}

// Status returns the state of the follower.
func (f *Follower) Status() Status {
	applied := f.applied.Load()
	f.trackerMu.Lock()
	defer f.trackerMu.Unlock()
	return Status{
		Revision:       applied.Head.Revision,
		Source:         applied.Source,
		AppliedAt:      applied.At,
		AcceptedBy:     applied.Head.AcceptedBy,
		AcceptedAt:     applied.Head.AcceptedAt,
		AcceptID:       applied.Head.AcceptID,
		Version:        applied.Version,
		Services:       len(applied.Head.Services),
		ReadFailures:   f.tracker.PlatformFailures(),
		HighestAtPeers: f.tracker.highestAtPeers(),
	}
}
