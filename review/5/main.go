//go:build review

// Command 5 sends HEAD requests, each followed by a GET request on the same connection, while the
// servers turn requests away.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/poplarwheel/poplarwheel/review/stand"
)

const (
	// turnedAway is the share of requests that the servers turn away.
	turnedAway = 0.55
	pairs      = 60
)

func main() { stand.Main(run) }

func run(c *stand.Case) (bool, error) {
	store, err := c.Store()
	if err != nil {
		return false, err
	}
	servers, err := c.Servers(store, "inventory", 3, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	if c.Disturb {
		for _, s := range servers {
			s.TurnsAway = func() bool { return rand.Float64() < turnedAway }
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

	strays := 0
	for i := range pairs {
		stray, err := pair(c, g, i)
		if err != nil {
			return false, err
		}
		if stray {
			strays++
		}
		time.Sleep(30 * time.Millisecond)
	}
	c.Line("in %d of %d pairs, bytes that are no answer followed the answer to HEAD", strays, pairs)
	return strays > 0, nil
}

// pair sends HEAD and, once that is answered, GET. It returns whether other bytes than an answer
// came after the answer to HEAD.
func pair(c *stand.Case, g *stand.Gateway, i int) (stray bool, err error) {
	conn, err := c.Dial(g)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	head := conn.Do(http.MethodHead, "/stock/x", fmt.Sprintf("head-%d", i), 2500*time.Millisecond, "")
	if head.Err != nil {
		return false, head.Err
	}
	get := fmt.Sprintf("get-%d", i)
	c.Line("sent %s", get)
	if _, err := io.WriteString(conn, stand.Head(http.MethodGet, "/stock/x", get, 2500*time.Millisecond)); err != nil {
		return false, err
	}
	const start = "HTTP/1.1 "
	next, err := conn.Reader.Peek(len(start))
	if err != nil {
		return false, err
	}
	if !bytes.Equal(next, []byte(start)) {
		rest, _ := conn.Reader.Peek(conn.Reader.Buffered())
		c.Line("stray bytes after the answer to head-%d (status %d): %q", i, head.Status, rest[:min(len(rest), 60)])
		return true, nil
	}
	c.Line("answered %s", conn.Read(http.MethodGet, get))
	return false, nil
}
