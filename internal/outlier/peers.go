package outlier

import (
	"slices"
	"time"
)

// peersFail reports whether the peers of a target fail too, so that its failures
// say more of the requests than of the target.
func (g Group) peersFail(t *Target) bool {
	var shares []float64
	for _, peer := range g {
		if peer != t && peer.observations > 0 {
			shares = append(shares, peer.failures)
		}
	}
	if len(shares) == 0 {
		return false
	}
	slices.Sort(shares)
	return shares[len(shares)/2] > peerShare
}

// peerLatency returns the median of the peers' mean latencies, and whether
// enough is known of at least one.
func (g Group) peerLatency(t *Target) (time.Duration, bool) {
	var means []time.Duration
	for _, peer := range g {
		if peer != t && !peer.cold && peer.samples >= coldAnswers {
			means = append(means, peer.latency)
		}
	}
	if len(means) == 0 {
		return 0, false
	}
	slices.Sort(means)
	return means[len(means)/2], true
}
