package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxConnections bounds the connections from peers.
	maxConnections = 256
	// maxHandshakes bounds the connections that have not proved the shared key.
	maxHandshakes = 64
)

// Handler serves one method. The result is sent back as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server serves the methods of the inner protocol.
type Server struct {
	keys     [][]byte
	log      logrus.FieldLogger
	traffic  Traffic
	refused  atomic.Uint64
	mu       sync.Mutex
	handlers map[string]Handler
	// conns are the open connections; the value is set once the peer has proved
	// that it holds the shared key.
	conns      map[net.Conn]bool
	handshakes int
	closed     bool
}

// NewServer returns a server without methods.
func NewServer(sharedKey []byte, log logrus.FieldLogger) *Server {
	return &Server{keys: [][]byte{sharedKey}, log: log, handlers: map[string]Handler{}, conns: map[net.Conn]bool{}}
}

// AcceptKey makes the server accept another shared key too. It must be called
// before Serve.
func (s *Server) AcceptKey(sharedKey []byte) { s.keys = append(s.keys, sharedKey) }

// Register adds a method. It must be called before Serve.
func (s *Server) Register(method string, handler Handler) { s.handlers[method] = handler }

// Traffic returns what was sent and received since the start.
func (s *Server) Traffic() TrafficCounts { return s.traffic.Counts() }

// Refused returns the number of connections that didn't prove the shared key.
func (s *Server) Refused() uint64 { return s.refused.Load() }

// Serve accepts peers until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.handshakes >= maxHandshakes {
		return false
	}
	s.handshakes++
	s.conns[conn] = false
	return true
}

// admit counts a connection whose handshake is over as a peer's.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns)-s.handshakes >= maxConnections {
		return false
	}
	s.handshakes--
	s.conns[conn] = true
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns[conn] {
		s.handshakes--
	}
	delete(s.conns, conn)
}

// Close closes every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.untrack(conn)
	defer func() { _ = conn.Close() }()
	setKeepAlive(conn)
	frames, err := acceptStream(conn, s.keys, time.Now().Add(handshakeTimeout), &s.traffic)
	if err != nil {
		s.refused.Add(1)
		s.log.WithError(err).WithField("remote", conn.RemoteAddr()).Debug("peer handshake failed")
		return
	}
	if !s.admit(conn) {
		return
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
	<-jsonrpc2.NewConn(context.Background(), frames, handler, jsonrpc2.SetLogger(discard{})).DisconnectNotify()
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	handler := s.handlers[request.Method]
	if handler == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	return handler(ctx, params)
}

// discard drops the library's own log.
type discard struct{}

// Printf implements jsonrpc2.Logger.
func (discard) Printf(string, ...any) {}
