package outlier

import (
	"slices"
	"time"
)

// peersFail reports whether the other targets of the group fail too, so that the cause is
// probably the requests and not the target.
func (g Group) peersFail(t *Target) bool {
	var rates []float64
	for _, peer := range g {
		if peer != t && peer.observations > 0 {
			rates = append(rates, peer.failureRate)
		}
	}
	if len(rates) == 0 {
		return false
	}
	slices.Sort(rates)
	return rates[len(rates)/2] > peerFailureRate
}

// peerLatency returns the median of the average latencies of the other targets, and false
// if none of them has enough responses.
func (g Group) peerLatency(t *Target) (time.Duration, bool) {
	var averages []time.Duration
	for _, peer := range g {
		if peer != t && !peer.slowStart && peer.samples >= slowStartResponses {
			averages = append(averages, peer.latency)
		}
	}
	if len(averages) == 0 {
		return 0, false
	}
	slices.Sort(averages)
	return averages[len(averages)/2], true
}
