package admin

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/metrics"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

// Limits of the API's port.
const (
	// headerBytes bounds the header of a request.
	headerBytes = 8 << 10
	// bodyBytes bounds the body of a request.
	bodyBytes = 1 << 20
	// connections bounds the open connections.
	connections = 128
	// connectionsPerIP bounds those of one IP.
	connectionsPerIP = 32
	// readTimeout bounds the time that a request takes to arrive.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the time that an answer takes to be received.
	writeTimeout = 30 * time.Second
	// idleTimeout bounds the time between two requests.
	idleTimeout = 30 * time.Second
	// bodyBytesUnderWay bounds the bodies that are read or served at once, in bytes.
	bodyBytesUnderWay = 4 << 20
	// minBodyBytes is the least that a body counts, in bytes. It bounds the number of
	// requests that call the platform at once.
	minBodyBytes = 128 << 10
	// bodyWait bounds the wait until a body may be read.
	bodyWait = time.Second
)

// Daemon is what the API needs of the entry daemon. Its methods are called from any
// goroutine.
type Daemon interface {
	// InForce returns the configuration in force.
	InForce() *rollout.Applied
	// Targets returns the targets as the daemon sees them.
	Targets() []proxy.TargetState
	// Suspects returns the contents of requests that were at a dying target.
	Suspects() []quarantine.Suspect
	// Lift lifts the quarantine of a content on all entry daemons that answer.
	Lift(content quarantine.Content) adminapi.LiftReply
	// Dump returns the daemon's state as a value that can be encoded as JSON.
	Dump() any
}

// Options are what a server needs.
type Options struct {
	Daemon Daemon
	Store  platform.Store
	// AdminTokenSHA256 is the SHA-256 of the administrators' token in hex. If empty,
	// nobody is administrator.
	AdminTokenSHA256 string
	Metrics          *metrics.API
	Log              logrus.FieldLogger
	// Now returns the time. nil means time.Now.
	Now func() time.Time
	// ReadTimeout bounds the time that a request takes to arrive. 0 means 10 s.
	ReadTimeout time.Duration
}

// Server serves the administration API.
type Server struct {
	options   Options
	http      *fasthttp.Server
	table     []*route
	directory *directory
	accepted  *accepted
	limiter   *limiter
	bodies    *semaphore.Weighted
	underWay  atomic.Int64
	stop      chan struct{}
}

// New returns a server that isn't running.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = readTimeout
	}
	s := &Server{
		options:   o,
		directory: newDirectory(o.Store, o.Log, o.Now),
		accepted:  newAccepted(o.Store, o.Daemon.InForce, o.Now),
		limiter:   newLimiter(),
		bodies:    semaphore.NewWeighted(bodyBytesUnderWay),
		stop:      make(chan struct{}),
	}
	s.table = s.routes()
	s.http = &fasthttp.Server{
		Handler:               s.serve,
		ErrorHandler:          s.serveError,
		NoDefaultServerHeader: true,
		ReadBufferSize:        headerBytes,
		// The handler reads the body itself, after it has checked who sends it.
		StreamRequestBody:            true,
		MaxRequestBodySize:           1,
		DisablePreParseMultipartForm: true,
		Concurrency:                  connections,
		MaxConnsPerIP:                connectionsPerIP,
		ReadTimeout:                  o.ReadTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
		Logger:                       quietLogger{o.Log},
	}
	return s
}

// Serve accepts connections until Shutdown. It may be called once.
func (s *Server) Serve(listener net.Listener) error {
	go s.directory.run(s.stop)
	return s.http.Serve(listener)
}

// Shutdown stops accepting connections and waits for the requests under way until
// ctx is done. It may be called once.
func (s *Server) Shutdown(ctx context.Context) error {
	close(s.stop)
	return s.http.ShutdownWithContext(ctx)
}

// Status is the state of the API for dumps.
type Status struct {
	// Teams is the number of teams that the daemon knows.
	Teams int `json:"teams"`
	// TeamsReadAt is when they were last read; the zero time means never.
	TeamsReadAt time.Time `json:"teams_read_at"`
	// Connections is the number of open connections.
	Connections int32 `json:"connections"`
	// RequestsUnderWay is the number of requests without an answer.
	RequestsUnderWay int64 `json:"requests_under_way"`
}

// Status returns the state of the API.
func (s *Server) Status() Status {
	status := Status{Connections: s.http.GetOpenConnectionsCount(), RequestsUnderWay: s.underWay.Load()}
	if held := s.directory.copy.Load(); held != nil {
		status.Teams = len(held.document.Teams)
		status.TeamsReadAt = held.readAt
	}
	return status
}

// quietLogger passes the library's own messages on at a lower level.
type quietLogger struct{ log logrus.FieldLogger }

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(format string, args ...any) { l.log.Debugf(format, args...) }
