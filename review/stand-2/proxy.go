//go:build review

package main

import (
	"bytes"
	"net"
	"sync"
)

// proxy passes the connections of one daemon to the store.
type proxy struct {
	listener net.Listener
	upstream string

	mu sync.Mutex
	// cut is set while nothing is passed on, and healed is closed at its end.
	cut    bool
	healed chan struct{}
	pairs  map[*pair]struct{}
}

// pair is a connection of the daemon and its counterpart to the store.
type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	// watching is set while the store's answer to a watch is awaited.
	watching bool
}

func newProxy(host, upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, healed: make(chan struct{}), pairs: map[*pair]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setCut(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.close()
	}
}

// setCut begins or ends a partition: bytes are held back, and new connections hang.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut && !cut {
		close(p.healed)
		p.healed = make(chan struct{})
	}
	p.cut = cut
}

// awaitPath waits until bytes are passed on.
func (p *proxy) awaitPath() {
	for {
		p.mu.Lock()
		cut, healed := p.cut, p.healed
		p.mu.Unlock()
		if !cut {
			return
		}
		<-healed
	}
}

// cutWatches closes the connections on which a watch waits, in order. It returns their number.
func (p *proxy) cutWatches() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for c := range p.pairs {
		if c.isWatching() {
			c.close()
			count++
		}
	}
	return count
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	p.awaitPath()
	far, err := net.Dial("tcp4", p.upstream)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &pair{near: near, far: far}
	p.mu.Lock()
	p.pairs[c] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(c, near, far, true) })
	both.Go(func() { p.pass(c, far, near, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// pass passes bytes on until one side closes.
func (p *proxy) pass(c *pair, from, to net.Conn, calls bool) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.awaitPath()
			c.setWatching(calls && bytes.Contains(buffer[:n], []byte("watch=")))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *pair) setWatching(watching bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = watching
}

func (c *pair) isWatching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watching
}

func (c *pair) close() {
	_ = c.near.Close()
	_ = c.far.Close()
}
