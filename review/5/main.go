//go:build review

// Command 5 moves a route to another service while calls of the store with staleRead return data
// that is some seconds old.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarwheel/poplarwheel/review/stand"
)

const (
	// staleBy is how old the data of stale reads is.
	staleBy = 5 * time.Second
	// configApply is configApplyS of the site.
	configApply = 2 * time.Second

	requesters = 4
)

func main() { stand.Main(run) }

func run(c *stand.Case) (bool, error) {
	store, err := c.Store()
	if err != nil {
		return false, err
	}
	old, err := c.Servers(store, "bookings-old", 3, 160*time.Millisecond)
	if err != nil {
		return false, err
	}
	if _, err := c.Servers(store, "bookings", 3, 160*time.Millisecond); err != nil {
		return false, err
	}
	configure := func(version int, service string) {
		store.Put("config", "main", stand.Config(version, []any{
			stand.Route("book-hire", "/book/", stand.NonIdempotent, service, 3, 0.4),
		}, "bookings-old", "bookings"))
	}
	configure(1, "bookings-old")
	if c.Disturb {
		store.SetStaleBy(staleBy)
	}
	// Everything that was written is older than stale reads are behind.
	time.Sleep(staleBy + time.Second)
	g, err := c.Gateway(store, "edge-1")
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	var stop atomic.Bool
	var wait sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	for n := range requesters {
		wait.Go(func() {
			conn, err := c.Dial(g)
			for i := 0; err == nil && !stop.Load(); i++ {
				id := fmt.Sprintf("r%d-%d", n, i)
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				err = conn.Do(http.MethodPost, "/book/x", id, 3*time.Second, "a booking").Err
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	configure(2, "bookings")
	confirmed := time.Now()
	c.Line("the store has confirmed r2, which moves the route to the service bookings")
	time.Sleep(staleBy + 3*time.Second)
	stop.Store(true)
	wait.Wait()

	wrong := 0
	for _, s := range old {
		for _, run := range s.Runs() {
			if after := sent[run.ID].Sub(confirmed); after > configApply {
				wrong++
				c.Line("%s was sent %.3f s after the confirmation and run by the old service", run.ID, after.Seconds())
			}
		}
	}
	c.Line("%d requests that were sent later than %v after the confirmation were run by the old service", wrong, configApply)
	return wrong > 0, nil
}
