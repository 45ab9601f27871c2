//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["6"] = staleAfterCoreCut }

const (
	// staleLag is how old stale reads are.
	staleLag = 3 * time.Second
	// configApply is the bound configApplyS.
	configApply = 2 * time.Second
	// cutFor is how long a machine is partitioned from the store.
	cutFor = 5500 * time.Millisecond
)

// versionLog tells when the versions of the configuration were confirmed.
type versionLog struct {
	mu        sync.Mutex
	confirmed []time.Time
}

func (l *versionLog) add(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = append(l.confirmed, at)
}

// mustBe returns the number of the oldest version that may handle a request that is sent at a time.
func (l *versionLog) mustBe(sent time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := 1
	for i, at := range l.confirmed {
		if sent.Sub(at) > configApply {
			oldest = i + 1
		}
	}
	return oldest
}

// staleAfterCoreCut partitions the daemon that reads the store for its zone from the store, while the
// operator moves a route. The other daemons, which reach the store, must follow within configApplyS.
func staleAfterCoreCut(r *run) error {
	const cycles, movesPerCycle = 4, 5
	zones := []string{"perth-a"}
	services := []string{}
	for i := range cycles*movesPerCycle + 1 {
		name := fmt.Sprint("bookings-", i+1)
		services = append(services, name)
		if _, err := r.addServer(fmt.Sprint("i-", i+1), name, zones[0], 3, 20*time.Millisecond); err != nil {
			return err
		}
	}
	r.store.SetStaleLag(staleLag)
	versions := &versionLog{}
	move := func(version int) error {
		at, err := r.putConfig(version, []routeOf{
			{name: "book", prefix: "/book/", kind: nonIdempotent, service: services[version-1], timeoutS: 1.5, latencyS: 0.4},
		}, services)
		versions.add(at)
		return err
	}
	if err := move(1); err != nil {
		return err
	}
	reader, err := r.addDaemon("edge-perth-a-1", zones[0], zones, 11, 0.8)
	if err != nil {
		return err
	}
	var others []*daemon
	for i := range 2 {
		d, err := r.addDaemon(fmt.Sprint("edge-perth-a-", i+2), zones[0], zones, 12+i, 0.32)
		if err != nil {
			return err
		}
		others = append(others, d)
	}
	if err := r.startAll(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	stop := make(chan struct{})
	var requesters sync.WaitGroup
	for _, d := range others {
		q := r.requester(d)
		requesters.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				a := q.do("POST", "/book/1", "x", 3*time.Second)
				q.log(a, "/book/1")
				ranBy := 0
				if _, id, found := strings.Cut(a.body, " by i-"); found && a.status == 200 {
					_, _ = fmt.Sscan(id, &ranBy)
				}
				if oldest := versions.mustBe(a.sent); ranBy != 0 && ranBy < oldest {
					r.breach("%s ran at %s as only r%d allows, though r%d was confirmed over %v before it was sent", a.id, services[ranBy-1], ranBy, oldest, configApply)
				}
			}
		})
	}
	version := 1
	for range cycles {
		if r.trouble {
			r.logf("%s is partitioned from the store", reader.name)
			reader.store.setCut(true)
		}
		began := time.Now()
		for range movesPerCycle {
			time.Sleep(time.Second)
			version++
			if err := move(version); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(began.Add(cutFor)))
		if r.trouble {
			r.logf("the partition of %s ends", reader.name)
			reader.store.setCut(false)
		}
		time.Sleep(7 * time.Second)
	}
	close(stop)
	requesters.Wait()
	return nil
}
