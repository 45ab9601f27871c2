//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["8"] = crashesAfterLeaving }

const (
	// giveUpAfter is half of the route's objective.
	giveUpAfter = 150 * time.Millisecond
	// crashAfter is how long after it has begun to work on the request a server crashes.
	crashAfter = 200 * time.Millisecond
	// restartAfter is the time for which a crashed server is down.
	restartAfter = 2500 * time.Millisecond
	// stableWindow is the bound stableWindowS.
	stableWindow = 3 * time.Second
	// allowedRetries is the number of late retries that the rule allows.
	allowedRetries = 3
	crashingPath   = "/stock/crash"
	// episodes is how often requesters leave early, for episodeFor each time and with episodePause
	// between. The request is sent each sendInterval in an episode.
	episodes     = 4
	episodeFor   = 5500 * time.Millisecond
	episodePause = 6 * time.Second
	sendInterval = 1600 * time.Millisecond
	// stayingRequesters is the number of requesters that don't leave, beside the one that does.
	stayingRequesters = 4
)

// crasher starts servers again that a request has crashed.
type crasher struct {
	run  *run
	zone string

	mu      sync.Mutex
	boots   int
	crashes []time.Time
	// reached are the times at which the request has reached a server.
	reached []time.Time
}

// boot starts a server, which is listed under a new id.
func (c *crasher) boot() error {
	c.mu.Lock()
	c.boots++
	id := fmt.Sprint("i-boot-", c.boots)
	c.mu.Unlock()
	s, err := c.run.addServer(id, "inventory", c.zone, 3, 120*time.Millisecond)
	if err != nil {
		return err
	}
	s.onBegin = func(path string) bool {
		if path != crashingPath {
			return false
		}
		c.mu.Lock()
		c.reached = append(c.reached, time.Now())
		c.mu.Unlock()
		time.AfterFunc(crashAfter, func() { c.crash(s) })
		return true
	}
	return nil
}

// crash ends a server like a process that is killed. Its entry goes after three check-in intervals.
func (c *crasher) crash(s *server) {
	s.crashOnce.Do(func() {
		c.run.logf("%s crashes", s.id)
		s.close()
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		time.AfterFunc(4500*time.Millisecond, func() { c.run.store.Delete("servers", s.id) })
		time.AfterFunc(restartAfter, func() { _ = c.boot() })
	})
}

// crashesAfterLeaving sends a request that crashes the servers which run it, by a requester that
// leaves before.
func crashesAfterLeaving(r *run) error {
	zones := []string{"perth-a"}
	c := &crasher{run: r, zone: zones[0]}
	for range 6 {
		if err := c.boot(); err != nil {
			return err
		}
	}
	if _, err := r.putConfig(1, []routeOf{
		{name: "stock", prefix: "/stock/", kind: idempotent, service: "inventory", timeoutS: 1.2, latencyS: 0.3},
	}, []string{"inventory"}); err != nil {
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
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var others sync.WaitGroup
	for i := range stayingRequesters {
		q := r.requester(r.daemons[i%len(r.daemons)])
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				path := fmt.Sprintf("/stock/%d-%d", i, n)
				q.log(q.do(http.MethodGet, path, "", 2500*time.Millisecond), path)
			}
		})
	}
	q := r.requester(r.daemons[0])
	limit := time.Duration(0)
	if r.trouble {
		limit = giveUpAfter
	}
	sends := 0
	for range episodes {
		end := time.Now().Add(episodeFor)
		for time.Now().Add(limit).Before(end) {
			began := time.Now()
			if err := sendCrashing(r, q, sends, limit); err != nil {
				return err
			}
			sends++
			time.Sleep(time.Until(earlier(began.Add(sendInterval), end)))
		}
		r.logf("the episode ends")
		time.Sleep(episodePause)
	}
	close(stop)
	others.Wait()
	c.judge()
	return nil
}

// judge checks how often the request has reached servers long after it had crashed the third.
func (c *crasher) judge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.run.logf("%d crashes", len(c.crashes))
	if len(c.crashes) < 3 {
		return
	}
	late := 0
	for _, at := range c.reached {
		if at.Sub(c.crashes[2]) > stableWindow {
			late++
		}
	}
	c.run.logf("%d arrivals later than %v after the third crash", late, stableWindow)
	if late > allowedRetries {
		c.run.breach("the request reached servers %d times later than %v after it had crashed the third", late, stableWindow)
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sendCrashing sends the request that crashes servers once. The requester leaves after limit, 0 for its
// deadline.
func sendCrashing(r *run, q *requester, i int, limit time.Duration) error {
	id := fmt.Sprintf("crash-%02d", i)
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	if limit > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), limit)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+q.daemon.at(frontPort)+crashingPath, strings.NewReader(""))
	if err != nil {
		cancel()
		return err
	}
	request.Host = callerHost
	request.Header.Set(headerRequestID, id)
	request.Header.Set(headerDeadline, "2500")
	sent := time.Now()
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}).Do(request)
	status := 0
	if err == nil {
		status = response.StatusCode
		_ = response.Body.Close()
	}
	cancel()
	r.logf("%s sent %.3f status %d err %v", id, r.since(sent), status, err)
	return nil
}
