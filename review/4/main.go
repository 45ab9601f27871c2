//go:build review

// Command 4 lets the store fall silent to a gateway for a moment, in which a configuration is
// written. Another one is written when all has been well again for longer than the pages ask.
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
	// afterPing is the time from a ping of the gateway to the silence, silence its length. The
	// gateway pings each 1.2 s.
	afterPing = 200 * time.Millisecond
	silence   = 600 * time.Millisecond
	// calm is the time from the end of the silence to the second configuration; stableWindowS of
	// the site is 3 s.
	calm = 5 * time.Second
	// configApply is configApplyS of the site.
	configApply = 2 * time.Second
	// watched is how long requests are sent after the second configuration.
	watched    = 30 * time.Second
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
	configure := func(version int, service string, timeout float64) {
		store.Put("config", "main", stand.Config(version, []any{
			stand.Route("book-hire", "/book/", stand.NonIdempotent, service, timeout, 0.4),
		}, "bookings-old", "bookings"))
		c.Line("the store has confirmed r%d: the route goes to %s, its timeout is %v s", version, service, timeout)
	}
	configure(1, "bookings-old", 3)
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
	store.AwaitPing()
	time.Sleep(afterPing)
	if c.Disturb {
		store.SetSilent(true)
		c.Line("the store is silent to the gateway")
	}
	time.Sleep(silence / 2)
	configure(2, "bookings-old", 2.5)
	time.Sleep(silence / 2)
	store.SetSilent(false)
	c.Line("the store answers the gateway")
	time.Sleep(calm)
	configure(3, "bookings", 2.5)
	confirmed := time.Now()
	time.Sleep(watched)
	stop.Store(true)
	wait.Wait()

	wrong, last := 0, time.Duration(0)
	for _, s := range old {
		for _, run := range s.Runs() {
			if after := sent[run.ID].Sub(confirmed); after > configApply {
				wrong++
				last = max(last, after)
				c.Line("%s was sent %.3f s after the confirmation of r3 and run by the old service", run.ID, after.Seconds())
			}
		}
	}
	c.Line("%d requests that were sent later than %v after the confirmation were run by the old service, the last %.1f s after it", wrong, configApply, last.Seconds())
	return wrong > 0, nil
}
