package targetclient

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 1 * time.Second
	// idleLimit is how long an idle connection is kept.
	idleLimit = 30 * time.Second
	// bufferBytes is the size of each connection's read and write buffer.
	bufferBytes = 4096
)

// connection is one connection to a target.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	idleAt time.Time
}

// usable reports whether an idle connection is open and has nothing to read.
func (c *connection) usable(now time.Time) bool {
	if now.Sub(c.idleAt) > idleLimit || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errno == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// pool keeps idle connections to one address, most recently used last.
type pool struct {
	address string
	mu      sync.Mutex
	idle    []*connection
}

func (p *pool) get(now time.Time) (*connection, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial()
		}
		if c.usable(now) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *pool) pop() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *pool) put(c *connection, now time.Time) {
	c.idleAt = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *pool) dial() (*connection, error) {
	conn, err := net.DialTimeout("tcp", p.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, bufferBytes),
		writer: bufio.NewWriterSize(conn, bufferBytes),
	}, nil
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
