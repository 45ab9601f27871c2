package gatewayd

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
)

const (
	// coldSettleTime is how long a daemon must have had a share of the cold rate before it uses
	// it. It outlasts the time within which the daemons of a zone notice that one of them has
	// fallen silent: those that are pinged least often, every 2 s, count as silent after 2.6 s.
	coldSettleTime = 3 * time.Second
	// maxColdSampleGap is the longest time between two updates of the share. After a longer one
	// the daemon was frozen and starts again without a share.
	maxColdSampleGap = 1500 * time.Millisecond
	// majority is the part of a zone's daemons of which only one side of a partition can have
	// more.
	majority = 0.5
)

// coldShare is this daemon's share of the rate at which a cold target gets requests. Each zone has an
// equal part, which its first advertised daemons divide. Daemons that are not advertised have
// none: their shares would be too small to serve a request within a cold time, and one request of
// each would be more than a target bears.
//
// While some daemons of the zone don't respond, they may serve on the other side of a partition.
// The daemons of one side use the part of the rate, and of the number of senders, that
// corresponds to their number.
type coldShare struct {
	// senders is the maximum number of daemons of a zone that have a share.
	senders int
	samples []coldSample
}

// coldSample is the share that a daemon would have by its view of the zone at a time.
type coldSample struct {
	at    time.Time
	share float64
}

// newColdShare returns the share in a deployment with the given number of zones, in which a cold
// target bears slack requests at once.
func newColdShare(slack float64, zones int) coldShare {
	return coldShare{senders: max(1, int(slack)/max(zones, 1))}
}

// at returns the share at a time: the lowest of the last coldSettleTime, so that daemons
// which disagree for a short time don't exceed the rate. responding is the number of the
// zone's daemons that respond, this one included.
func (c *coldShare) at(now time.Time, zones float64, status heartbeat.ZoneStatus, responding int) float64 {
	if last := len(c.samples) - 1; last >= 0 && now.Sub(c.samples[last].at) > maxColdSampleGap {
		c.samples = nil
	}
	c.samples = append(c.samples, coldSample{at: now, share: c.current(zones, status, responding)})
	for len(c.samples) > 1 && now.Sub(c.samples[1].at) >= coldSettleTime {
		c.samples = c.samples[1:]
	}
	if now.Sub(c.samples[0].at) < coldSettleTime {
		return 0
	}
	lowest := c.samples[0].share
	for _, sample := range c.samples {
		lowest = min(lowest, sample.share)
	}
	return lowest
}

// current returns the share by the daemon's present view of the zone.
func (c *coldShare) current(zones float64, status heartbeat.ZoneStatus, responding int) float64 {
	if !status.Advertised {
		return 0
	}
	inTouch := min(float64(responding)/float64(max(status.Daemons, 1)), 1)
	senders := int(float64(c.senders) * inTouch)
	if senders == 0 && inTouch > majority {
		senders = 1
	}
	senders = min(senders, status.AdvertisedDaemons)
	if status.Index >= senders {
		return 0
	}
	return inTouch / (zones * float64(senders))
}
