package responsehead

import (
	"bytes"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

var headEnd = []byte("\r\n\r\n")

// conn is a client's connection. Its reads fail at a head that is invalid.
type conn struct {
	net.Conn
	// expectsHead is set from the start of a request to the end of the head of its final response.
	expectsHead bool
	// head is what was read of the current head. The buffer of fasthttp's client, which has to hold a
	// whole head, bounds it.
	head []byte
}

// NewConn returns a connection that checks the heads of responses, interim ones too, before the client
// gets them whole. The client must send one request at a time and not read and write concurrently.
func NewConn(c net.Conn) net.Conn { return &conn{Conn: c} }

// DialTimeout opens a connection as fasthttp's clients do by default, and returns it as NewConn does.
func DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = fasthttp.DefaultDialTimeout
	}
	c, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.expectsHead, c.head = true, nil
	return c.Conn.Write(p)
}

// Read implements net.Conn. At an invalid head it returns the error with all of the head but its last
// byte: the client drops an error that comes without bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	rest, invalid := c.checkHeads(p[:n])
	if invalid != nil {
		return n - rest - 1, invalid
	}
	return n, err
}

// checkHeads checks the heads that end in piece. At an invalid one it returns the error and the number
// of bytes of piece behind that head.
func (c *conn) checkHeads(piece []byte) (rest int, err error) {
	message := piece
	if len(c.head) > 0 {
		message = append(c.head, piece...)
	}
	for c.expectsHead {
		// The client skips empty lines before a head.
		message = bytes.TrimLeft(message, "\r\n")
		end := bytes.Index(message, headEnd)
		if end < 0 {
			c.head = append(c.head[:0], message...)
			return 0, nil
		}
		head := message[:end+len(headEnd)]
		message = message[len(head):]
		c.head = nil
		if err := Check(head); err != nil {
			return len(message), err
		}
		c.expectsHead = isInterim(head)
	}
	return 0, nil
}

// isInterim reports whether a head is that of a response before the final one.
func isInterim(head []byte) bool {
	status := statusOf(head)
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}
