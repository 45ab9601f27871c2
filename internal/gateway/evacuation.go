package gateway

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// SetEvacuated sets the availability zones whose targets get no requests.
func (g *Gateway) SetEvacuated(zones []string) {
	g.runOnLoop(func() {
		g.log.evacuated(g.evacuated, zones)
		g.evacuated = slices.Clone(zones)
		now := time.Now()
		for _, s := range g.services {
			g.perform(s, s.pool.SetEvacuated(now, zones))
		}
	})
}

// evacuated logs the evacuations that begin and end.
func (l *eventLog) evacuated(previous, zones []string) {
	for _, zone := range zones {
		if !slices.Contains(previous, zone) {
			l.log.WithFields(logrus.Fields{"zone": zone, "evacuated": zones}).Warn("evacuation begins; targets of the zone get no requests")
		}
	}
	for _, zone := range previous {
		if !slices.Contains(zones, zone) {
			l.log.WithFields(logrus.Fields{"zone": zone, "evacuated": zones}).Warn("evacuation ends; targets of the zone get requests again")
		}
	}
}
