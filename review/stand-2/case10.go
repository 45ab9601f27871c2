//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["10"] = noOwnerAfterLoss }

const (
	// downFor is the time for which the machines are down in the final fault.
	downFor = 1200 * time.Millisecond
	// recovery is the bound recoveryS.
	recovery = 15 * time.Second
	// tenantRate and tenantBurst are the quota of each tenant, tenantDemand is what it sends a second.
	tenantRate, tenantBurst, tenantDemand = 20, 20, 12
)

// quotaBounds are those of the installation tenjin-fare-gw-grown that swanbrook-gw hasn't.
var quotaBounds = map[string]any{"quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20, "strictRevoke": false, "revokeS": 5}

// tally counts the answers to the requests of a time by their status.
type tally struct {
	mu     sync.Mutex
	counts map[int]int
}

func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[status]++
}

// served returns the share of requests that were answered with success.
func (t *tally) served() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, count := range t.counts {
		total += count
	}
	return float64(t.counts[http.StatusOK]) / float64(max(total, 1))
}

// noOwnerAfterLoss kills all machines at the same moment, of which three of five are lost for good, and
// checks that the tenants, which ask for less than their quotas, are served by the other two.
func noOwnerAfterLoss(r *run) error {
	const tenants = 3
	zones := []string{"fukuoka", "kumamoto", "kagoshima"}
	for name, value := range quotaBounds {
		bounds[name] = value
	}
	for i := range 6 {
		if _, err := r.addServer(fmt.Sprint("i-", i+1), "settle-svc", zones[i%len(zones)], 6, 20*time.Millisecond); err != nil {
			return err
		}
	}
	for i := range tenants {
		r.tenants = append(r.tenants, map[string]any{
			"name": fmt.Sprint("tenant-", i+1), keyKeys: []string{fmt.Sprint("key-", i+1)}, keyRate: tenantRate, "burst": tenantBurst,
		})
	}
	if _, err := r.putConfig(1, []routeOf{
		{name: "settle", prefix: "/settle/", kind: nonIdempotent, service: "settle-svc", timeoutS: 5, latencyS: 1},
	}, []string{"settle-svc"}); err != nil {
		return err
	}
	for i := range 5 {
		if _, err := r.addDaemon(fmt.Sprint("edge-", i+1), zones[i%len(zones)], zones, 11+i, 0.32); err != nil {
			return err
		}
	}
	if err := r.startAll(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	// The machines that are back; requesters use only these, before the fault too.
	back := r.daemons[:2]
	ask := func(name string, length time.Duration) *tally {
		t := &tally{counts: map[int]int{}}
		var requesters sync.WaitGroup
		end := time.Now().Add(length)
		for i := range tenants {
			q := r.requester(back[i%len(back)])
			q.key = fmt.Sprint("key-", i+1)
			requesters.Go(func() {
				for time.Now().Before(end) {
					began := time.Now()
					a := q.do(http.MethodPost, "/settle/1", "x", 10*time.Second)
					q.log(a, "/settle/1")
					t.add(a.status)
					time.Sleep(time.Second/tenantDemand - time.Since(began))
				}
			})
		}
		requesters.Wait()
		r.logf("%s: answers by status %v, served %.3f", name, t.counts, t.served())
		return t
	}
	before := ask("before the final fault", 10*time.Second)
	for _, d := range r.daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range r.daemons {
		<-d.ended
	}
	time.Sleep(downFor)
	starting := back
	if !r.trouble {
		starting = r.daemons
	}
	for _, d := range starting {
		if err := d.start(); err != nil {
			return err
		}
	}
	r.logf("%d of %d machines are back", len(starting), len(r.daemons))
	ask("until recoveryS", recovery)
	after := ask("later", 20*time.Second)
	if before.served() >= 0.25 && after.served() < 0.25 {
		r.breach("%.3f of the requests sent later than %v after the machines are back are served, %.3f before", after.served(), recovery, before.served())
	}
	return nil
}
