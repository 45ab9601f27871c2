// Package callerserver is the HTTP/1.1 server for callers. It runs on gnet event loops
// and uses fasthttp's message codec.
//
// Responses are sent on a connection in the order of its requests. Pipelined requests
// stay in the connection's buffer until the requests before them are answered, unless
// the handler allows them to start early. The sizes of header, body and buffers and the
// time a caller takes to send a request are limited.
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

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
)

// Limits bounds the resources that callers can take up.
type Limits struct {
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request body.
	BodyBytes int
	// SendTimeout is the maximum time a caller takes to send a request.
	SendTimeout time.Duration
	// IdleTimeout is the maximum time between requests of a connection.
	IdleTimeout time.Duration
	// PipelineDepth is the maximum number of unanswered requests of a connection. With 0
	// or 1 a request starts only after the previous one is answered.
	PipelineDepth int
	// AnyRequest enables chunked bodies, the HEAD method and "Expect: 100-continue".
	// CONNECT and TRACE are always rejected.
	AnyRequest bool
	// Connections is the maximum number of open connections. 0 means no limit.
	Connections int
	// BufferedBytes is the maximum size of all incompletely received requests, summed
	// over all connections. 0 means no limit.
	BufferedBytes int
	// Provisional is set while it isn't known which sizes callers may send. A request that
	// exceeds a maximum size is then refused as not run instead of being called too large.
	Provisional bool
}

const (
	// sweepInterval is the interval between checks of the connection timeouts.
	sweepInterval = 500 * time.Millisecond
	// loopBufferBytes is the size of the read buffer of the event loop of RunSingleLoop, and
	// of the contiguous part of a connection's write buffer.
	loopBufferBytes = 16 << 10
)

// Handler serves requests. Serve is called on an event loop and must not block. The
// handler owns the request and may pass it to fasthttp.ReleaseRequest once it is no
// longer used.
type Handler interface {
	Serve(request *fasthttp.Request, exchange *Exchange)
}

// ConcurrentHandler is a Handler that allows pipelined requests to run concurrently.
type ConcurrentHandler interface {
	// MayRunConcurrently reports whether the request may run concurrently with the requests
	// before and after it on its connection. It must not retain the request.
	MayRunConcurrently(request *fasthttp.Request) bool
}

// Server accepts connections of callers and passes their requests to a Handler.
type Server struct {
	gnet.BuiltinEventEngine
	handler Handler
	limits  atomic.Pointer[Limits]
	log     logrus.FieldLogger
	// rejections counts and logs the requests that can't be parsed.
	rejections *rejections
	engine     gnet.Engine
	started    chan struct{}
	// loop receives the event loop that accepted the first connection.
	loop     chan gnet.EventLoop
	inFlight atomic.Int64
	draining atomic.Bool
	conns    sync.Map
	// openConnections counts the open connections. gnet's own count can't be read while
	// the engine starts.
	openConnections atomic.Int64
	// budget is nil if the bytes that are held for callers aren't accounted for.
	budget *bytebudget.Budget
	// nextEviction is when stopped callers may be evicted again. It is accessed only on the event
	// loop of a server with a budget.
	nextEviction time.Time
	// buffered is the total size of incompletely received requests.
	buffered atomic.Int64
	// now reads the clock by which connections time out.
	now func() time.Time
}

// New returns a server. It accepts connections once Run or RunSingleLoop is called.
func New(handler Handler, limits Limits, log logrus.FieldLogger) *Server {
	s := &Server{
		handler:    handler,
		log:        log,
		rejections: newRejections(log),
		started:    make(chan struct{}),
		loop:       make(chan gnet.EventLoop, 1),
		now:        time.Now,
	}
	s.SetLimits(limits)
	return s
}

// SetLimits replaces the limits. They apply to whatever callers send from then on.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// SetBudget makes the server account for what it holds for callers and take over large bodies as
// they arrive, which handlers then get from Exchange.Body. It must be called before RunSingleLoop.
// The budget must call Relieve when it is short.
func (s *Server) SetBudget(budget *bytebudget.Budget) { s.budget = budget }

// Run accepts connections on address ("ip:port") with the given number of event loops
// until Stop is called.
func (s *Server) Run(address string, eventLoops int) error {
	return gnet.Run(s, "tcp://"+address, s.options(eventLoops)...)
}

// RunSingleLoop accepts connections on several addresses ("ip:port") until Stop is called. A
// single event loop both accepts the connections and serves them.
func (s *Server) RunSingleLoop(addresses []string) error {
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

// Loop returns an event loop of a running server, for work that is not caused by a
// caller's connection. gnet exposes its event loops only to connection handlers, so Loop
// briefly connects to address, one of the server's own ("ip:port").
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

// LoopTimeoutError reports that no event loop accepted a connection in time.
type LoopTimeoutError struct{ Address string }

// Error implements error.
func (e *LoopTimeoutError) Error() string {
	return "callerserver: no event loop has accepted a connection to " + e.Address
}

// loopTimeout is how long Loop waits for an event loop.
const loopTimeout = 5 * time.Second

func (s *Server) options(eventLoops int) []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(eventLoops),
		gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(gnetLogger{s.log}),
		gnet.WithTicker(true),
	}
}

// Started returns a channel that is closed once the server accepts connections.
func (s *Server) Started() <-chan struct{} { return s.started }

// InFlight returns the number of unanswered requests.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Receiving reports whether a request has arrived in part.
func (s *Server) Receiving() bool { return s.buffered.Load() > 0 }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return int(s.openConnections.Load()) }

// Stop closes the listeners and all connections.
func (s *Server) Stop(ctx context.Context) error { return s.engine.Stop(ctx) }
