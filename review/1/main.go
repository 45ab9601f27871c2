//go:build review

// Command 1 lets servers answer without a length, and some of them break off a part of their answers
// by a reset. A requester that gets such a part must not get it as a success.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarwheel/poplarwheel/review/stand"
)

const (
	// brokenOff is the part of their answers that faulty servers break off, faulty the number of
	// faulty servers, half of all.
	brokenOff = 0.05
	servers   = 8
	faulty    = servers / 2
	// The fault comes in episodes.
	episodes   = 14
	episode    = 5 * time.Second
	pause      = 2 * time.Second
	requesters = 16
	// maxDelay is the longest time from the last byte of a broken answer to the reset.
	maxDelay = 30 * time.Microsecond
)

func main() { stand.Main(run) }

func run(c *stand.Case) (bool, error) {
	store, err := c.Store()
	if err != nil {
		return false, err
	}
	all, err := c.Servers(store, "inventory", servers, 2*time.Millisecond)
	if err != nil {
		return false, err
	}
	var inEpisode atomic.Bool
	var broken sync.Map
	for i, s := range all {
		s.Ran = nil
		s.Answer = func(conn net.Conn, r *stand.Run) bool {
			body := body(r)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\n"+stand.RequestID+": %s\r\n"+stand.Signature+": s.%s.%s\r\n%sConnection: close\r\n\r\n",
				r.ID, s.ID, r.ID, s.LoadFields())
			if i >= faulty || !inEpisode.Load() || rand.Float64() >= brokenOff {
				c.Line("ran %s at %s, whole answer", r.ID, s.ID)
				_, _ = io.WriteString(conn, head+body)
				return false
			}
			part := body[:len(body)/2]
			broken.Store(r.ID+" "+s.ID, len(part))
			c.Line("ran %s at %s, answer broken off by a reset after %d of %d bytes", r.ID, s.ID, len(part), len(body))
			_, _ = io.WriteString(conn, head+part)
			if rand.IntN(4) == 0 {
				spin(rand.N(maxDelay))
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			return false
		}
	}
	store.Put("config", "main", stand.Config(1, []any{
		stand.Route("stock-check", "/stock/", "idempotent", "inventory", 2.5, 0.3),
	}, "inventory"))
	g, err := c.Gateway(store, "edge-1")
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	var stop atomic.Bool
	var wait sync.WaitGroup
	var answered, wrong atomic.Int64
	for n := range requesters {
		wait.Go(func() {
			conn, err := c.Dial(g)
			for i := 0; err == nil && !stop.Load(); i++ {
				id := fmt.Sprintf("r%d-%d", n, i)
				c.Line("sent %s", id)
				answer := conn.DoQuietly(http.MethodGet, "/stock/x", id, 2500*time.Millisecond, "")
				err = answer.Err
				c.Line("answered %s: %d, %d bytes, %v", id, answer.Status, len(answer.Body), answer.Err)
				if answer.Status != http.StatusOK {
					continue
				}
				answered.Add(1)
				if len(answer.Body) != bodyBytes(id) {
					wrong.Add(1)
					c.Line("WRONG: %s was answered %d with Content-Length %s, %d bytes of %d: %s", id, answer.Status, answer.Header.Get("Content-Length"), len(answer.Body), bodyBytes(id), brokenAt(&broken, id, all))
				}
			}
			if err != nil {
				c.Line("requester %d: %v", n, err)
			}
		})
	}
	for range episodes {
		inEpisode.Store(c.Disturb)
		time.Sleep(episode)
		inEpisode.Store(false)
		time.Sleep(pause)
	}
	stop.Store(true)
	wait.Wait()
	breaks := 0
	broken.Range(func(any, any) bool { breaks++; return true })
	c.Line("%d answers with 200, %d answers broken off by servers, %d parts passed on as a success", answered.Load(), breaks, wrong.Load())
	return wrong.Load() > 0, nil
}

// bodyBytes is the size of the answer to a request.
func bodyBytes(id string) int { return 400 + len(id) }

// spin waits for a time that is too short to sleep.
func spin(wait time.Duration) {
	for end := time.Now().Add(wait); time.Now().Before(end); {
	}
}

// body is the answer to a request.
func body(r *stand.Run) string { return r.ID + strings.Repeat("s", 400) }

// brokenAt tells which servers broke off their answer to a request.
func brokenAt(broken *sync.Map, id string, servers []*stand.Server) string {
	var at []string
	for _, s := range servers {
		if bytes, ok := broken.Load(id + " " + s.ID); ok {
			at = append(at, fmt.Sprintf("%s reset the connection after %d bytes", s.ID, bytes))
		}
	}
	return strings.Join(at, ", ")
}
