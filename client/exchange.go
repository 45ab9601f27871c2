package client

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/responsehead"
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 8 << 20

// host returns the connections to the entry VM at address.
func (c *Client) host(address string) *fasthttp.HostClient {
	idle := c.idleLimit()
	c.mu.Lock()
	defer c.mu.Unlock()
	host, ok := c.hosts[address]
	if ok && host.MaxIdleConnDuration == idle {
		return host
	}
	if ok {
		host.CloseIdleConnections()
	}
	host = &fasthttp.HostClient{
		Addr:                address,
		DialTimeout:         responsehead.DialTimeout,
		MaxConns:            c.options.MaxConnections,
		MaxIdleConnDuration: idle,
	}
	c.hosts[address] = host
	return host
}

const (
	// firstIdleLimit bounds the idle time of connections before the first answer
	// to the question which entry VMs to use.
	firstIdleLimit = 500 * time.Millisecond
	// idleShare is the part of the keep time for which connections stay idle.
	idleShare = 0.5
)

// idleLimit is how long an idle connection is kept. An entry VM that shuts down
// closes connections that were idle for the keep time, and no request may be
// sent on one of these.
func (c *Client) idleLimit() time.Duration {
	keep := c.directory.keep()
	if keep == 0 {
		return firstIdleLimit
	}
	return time.Duration(float64(keep) * idleShare)
}

// exchange sends a request and reads its answer, once, within timeout and until
// ctx is done. The library's own calls are not used because they can't be
// canceled. Errors are *NotSentError and *LostError.
func (c *Client) exchange(ctx context.Context, address string, timeout time.Duration, request *fasthttp.Request, response *fasthttp.Response) error {
	if err := ctx.Err(); err != nil {
		return &NotSentError{Entry: address, Cause: err}
	}
	deadline := time.Now().Add(timeout)
	host := c.host(address)
	acquired, err := host.AcquireConn(timeout, false)
	if err != nil {
		return &NotSentError{Entry: address, Cause: err}
	}
	conn := acquired.Conn()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = roundTrip(host, conn, deadline, request, response)
	if canceled := !stop(); canceled || err != nil || response.ConnectionClose() {
		host.CloseConn(acquired)
	} else {
		host.ReleaseConn(acquired)
	}
	if err != nil {
		return &LostError{Entry: address, Cause: err}
	}
	return nil
}

// roundTrip writes a request and reads its answer.
func roundTrip(host *fasthttp.HostClient, conn net.Conn, deadline time.Time, request *fasthttp.Request, response *fasthttp.Response) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	writer := host.AcquireWriter(conn)
	defer host.ReleaseWriter(writer)
	if err := request.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	reader := host.AcquireReader(conn)
	defer host.ReleaseReader(reader)
	return response.ReadLimitBody(reader, maxAnswerBytes)
}
