package targetclient

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// bufferBytes is the size of each connection's read and write buffer.
const bufferBytes = 4096

// connection is one connection to a target.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	idleAt time.Time
	raw    syscall.RawConn
	// silent is the result of the last peek.
	silent bool
	peek   func(fd uintptr) bool
}

func newConnection(conn net.Conn) *connection {
	c := &connection{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, bufferBytes),
		writer: bufio.NewWriterSize(conn, bufferBytes),
	}
	if withRaw, ok := conn.(syscall.Conn); ok {
		c.raw, _ = withRaw.SyscallConn()
	}
	c.peek = c.peekByte
	return c
}

// usable reports whether an idle connection is open and has nothing to read.
func (c *connection) usable(now time.Time) bool {
	if now.Sub(c.idleAt) > idleLimit || c.reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	c.silent = false
	err := c.raw.Read(c.peek)
	return err == nil && c.silent
}

// peekByte looks for input, or the end of it, without waiting.
func (c *connection) peekByte(fd uintptr) bool {
	var probe [1]byte
	_, _, errno := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.silent = errno == syscall.EAGAIN
	return true
}
