//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["7"] = leftDuringWatchCut }

const (
	// drain is the bound drainS.
	drain = 2 * time.Second
	// exitAfter is how long after the removal of its entry a server exits: drainS and a little longer.
	exitAfter = drain + time.Second
	// cutAfter is how long after the removal the waiting watches are cut off.
	cutAfter = 500 * time.Millisecond
	// pause outlasts the time for which a daemon makes no stale reads after a watch was cut off.
	pause = 28 * time.Second
)

// leftDuringWatchCut removes the entry of a server that never reports draining, and cuts the waiting
// watches shortly after. The server serves on for a little longer than drainS, and must get nothing in
// that time.
func leftDuringWatchCut(r *run) error {
	const rounds = 3
	zones := []string{"perth-a"}
	r.store.SetStaleLag(staleLag)
	add := func(id string) (*server, error) {
		return r.addServer(id, "bookings", zones[0], 3, 160*time.Millisecond)
	}
	for i := range 3 {
		if _, err := add(fmt.Sprint("i-stays-", i+1)); err != nil {
			return err
		}
	}
	var leaving []*server
	for i := range rounds {
		s, err := add(fmt.Sprint("i-leaves-", i+1))
		if err != nil {
			return err
		}
		leaving = append(leaving, s)
	}
	if _, err := r.putConfig(1, []routeOf{
		{name: "book", prefix: "/book/", kind: nonIdempotent, service: "bookings", timeoutS: 1.5, latencyS: 0.4},
	}, []string{"bookings"}); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := r.addDaemon(fmt.Sprint("edge-perth-a-", i+1), zones[0], zones, 11+i, 0.32); err != nil {
			return err
		}
	}
	if err := r.startAll(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	stop := make(chan struct{})
	var requesters sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for _, d := range r.daemons {
		for range 3 {
			q := r.requester(d)
			requesters.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
					}
					a := q.do(http.MethodPost, "/book/1", "x", 3*time.Second)
					q.log(a, "/book/1")
					if a.err != nil || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
						mu.Lock()
						lost++
						mu.Unlock()
					}
				}
			})
		}
	}
	time.Sleep(time.Second)
	removed := map[*server]time.Time{}
	for _, s := range leaving {
		r.store.Delete("servers", s.id)
		removed[s] = time.Now()
		r.logf("the entry of %s is removed; it serves on", s.id)
		time.AfterFunc(exitAfter, func() {
			r.logf("%s exits", s.id)
			s.close()
		})
		time.Sleep(cutAfter)
		if r.trouble {
			cut := 0
			for _, d := range r.daemons {
				cut += d.store.cutWatches()
			}
			r.logf("%d waiting watches are cut off", cut)
		}
		time.Sleep(pause)
	}
	close(stop)
	requesters.Wait()
	r.logf("%d bookings got no answer of a server", lost)
	for _, s := range leaving {
		for _, a := range s.seen() {
			if late := a.at.Sub(removed[s]) - drain; late > 0 {
				r.breach("%s reached %s at %.3f, %v after the end of drainS", a.id, s.id, r.since(a.at), late)
			}
		}
	}
	return nil
}
