//go:build review

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["9"] = crashesAfterLosses }

// crashesAfterLosses sends a request that crashes the servers which run it, at whatever daemon the
// directory names, while the daemons that know of its quarantine are lost.
func crashesAfterLosses(r *run) error {
	const machines, lostAtOnce, losses, sendsBetween = 13, 3, 4, 4
	zones := []string{"perth-a"}
	c := &crasher{run: r, zone: zones[0]}
	for range 8 {
		if err := c.boot(); err != nil {
			return err
		}
	}
	if _, err := r.putConfig(1, []routeOf{
		{name: "stock", prefix: "/stock/", kind: idempotent, service: "inventory", timeoutS: 1.2, latencyS: 0.3},
	}, []string{"inventory"}); err != nil {
		return err
	}
	for i := range machines {
		if _, err := r.addDaemon(fmt.Sprint("edge-perth-a-", i+1), zones[0], zones, 11+i, 0.32); err != nil {
			return err
		}
	}
	if err := r.startAll(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	left := append([]*daemon(nil), r.daemons...)
	send := func() error {
		// The requester asks the directory of any machine that is left.
		named, err := left[len(left)-1].resolve(zones[0])
		if err != nil || len(named) == 0 {
			return fmt.Errorf("the directory names nobody: %w", err)
		}
		for _, d := range left {
			if d.at(frontPort) == named[0] {
				q := r.requester(d)
				q.log(q.do(http.MethodGet, crashingPath, "", 2500*time.Millisecond), crashingPath)
			}
		}
		return nil
	}
	for loss := range losses + 1 {
		for range sendsBetween {
			if err := send(); err != nil {
				return err
			}
			time.Sleep(1500 * time.Millisecond)
		}
		if !r.trouble || loss == losses {
			continue
		}
		// The machine that is named and those that are named next are lost for good.
		for range lostAtOnce {
			named, err := left[len(left)-1].resolve(zones[0])
			if err != nil || len(named) == 0 {
				return fmt.Errorf("the directory names nobody: %w", err)
			}
			lost := named[0]
			var kept []*daemon
			for _, d := range left {
				if d.at(frontPort) != lost {
					kept = append(kept, d)
					continue
				}
				d.signal(syscall.SIGKILL)
				<-d.ended
			}
			left = kept
			if err := await(6*time.Second, func() bool {
				named, err := left[len(left)-1].resolve(zones[0])
				return err == nil && len(named) > 0 && named[0] != lost
			}); err != nil {
				return fmt.Errorf("the directory goes on naming %s: %w", lost, err)
			}
		}
		time.Sleep(3 * time.Second)
	}
	c.judge()
	return nil
}
