// Package callerserver serves callers: HTTP/1.1 on gnet event loops, with
// fasthttp's message codec.
//
// Answers leave a connection in the order of its requests. Requests that are sent
// behind an unanswered one wait in the connection's buffer, unless the handler lets
// them start early. Header, body, buffer and the time to send a request are bounded.
package callerserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// Limits bound what a caller can make the daemon hold.
type Limits struct {
	// HeaderBytes bounds a request's header.
	HeaderBytes int
	// BodyBytes bounds a request's body.
	BodyBytes int
	// SendTimeout bounds the time a caller takes to send a request.
	SendTimeout time.Duration
	// IdleTimeout bounds the time between requests.
	IdleTimeout time.Duration
	// Pipelined bounds the unanswered requests of a connection. 0 and 1 mean that
	// a request starts after the answer to the one before.
	Pipelined int
	// AnyRequest admits bodies in chunks, every method but CONNECT and TRACE, and
	// the expectation of an interim answer.
	AnyRequest bool
	// Connections bounds the open connections. 0 means no limit.
	Connections int
	// BufferedBytes bounds the bytes of requests that have arrived in part, over
	// all connections. 0 means no limit.
	BufferedBytes int
}

const (
	// sweepInterval is the pause between two checks of the timeouts.
	sweepInterval = 500 * time.Millisecond
	// loopBufferBytes is the read buffer of the event loop of RunLoop, and the part
	// of a connection's outgoing bytes that is kept in one piece.
	loopBufferBytes = 16 << 10
)

// Handler serves requests. Serve is called on an event loop and must not block.
// The request is the handler's own: it may be given to fasthttp.ReleaseRequest
// once nothing uses it any more.
type Handler interface {
	Serve(request *fasthttp.Request, exchange *Exchange)
}

// Overtaker is a Handler that lets requests start before earlier ones of the same
// connection are answered.
type Overtaker interface {
	// MayOvertake reports whether the request may run beside the requests before
	// and behind it on its connection. It must not keep the request.
	MayOvertake(request *fasthttp.Request) bool
}

// Server accepts callers.
type Server struct {
	gnet.BuiltinEventEngine
	handler Handler
	limits  atomic.Pointer[Limits]
	log     logrus.FieldLogger
	engine  gnet.Engine
	started chan struct{}
	// loop holds the event loop that accepted the first connection.
	loop     chan gnet.EventLoop
	inFlight atomic.Int64
	draining atomic.Bool
	conns    sync.Map
	// open counts the connections. The engine's own count can't be read while it
	// starts.
	open atomic.Int64
	// buffered counts the bytes of requests that have arrived in part.
	buffered atomic.Int64
}

// New returns a server.
func New(handler Handler, limits Limits, log logrus.FieldLogger) *Server {
	s := &Server{handler: handler, log: log, started: make(chan struct{}), loop: make(chan gnet.EventLoop, 1)}
	s.SetLimits(limits)
	return s
}

// SetLimits replaces the limits for what callers send from now on.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Run accepts callers on address ("ip:port") with the given number of event
// loops until Stop.
func (s *Server) Run(address string, eventLoops int) error {
	return gnet.Run(s, "tcp://"+address, s.options(eventLoops)...)
}

// RunLoop accepts callers on several addresses ("ip:port") with one event loop that
// also accepts their connections, until Stop.
func (s *Server) RunLoop(addresses []string) error {
	listeners := make([]string, len(addresses))
	for i, address := range addresses {
		listeners[i] = "tcp4://" + address
	}
	options := append(s.options(1),
		gnet.WithReusePort(true),
		gnet.WithReadBufferCap(loopBufferBytes),
		gnet.WithWriteBufferCap(loopBufferBytes),
	)
	return gnet.Rotate(s, listeners, options...)
}

// Loop returns an event loop of a started server, for work that no caller's
// connection brings. It opens a connection to one of the server's own addresses
// ("ip:port") for a moment: the engine itself shows its loops only once they run.
func (s *Server) Loop(address string) (gnet.EventLoop, error) {
	conn, err := net.DialTimeout("tcp4", address, loopTimeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	select {
	case loop := <-s.loop:
		return loop, nil
	case <-time.After(loopTimeout):
		return nil, &LoopTimeoutError{Address: address}
	}
}

// LoopTimeoutError reports a server whose event loops don't run.
type LoopTimeoutError struct{ Address string }

// Error implements error.
func (e *LoopTimeoutError) Error() string {
	return "callerserver: no event loop has accepted a connection to " + e.Address
}

// loopTimeout bounds the wait for an event loop.
const loopTimeout = 5 * time.Second

func (s *Server) options(eventLoops int) []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(eventLoops),
		gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(quietLogger{s.log}),
		gnet.WithTicker(true),
	}
}

// Started is closed when the server accepts callers.
func (s *Server) Started() <-chan struct{} { return s.started }

// InFlight returns the number of requests without an answer.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return int(s.open.Load()) }

// Stop closes the server and its connections.
func (s *Server) Stop(ctx context.Context) error { return s.engine.Stop(ctx) }
