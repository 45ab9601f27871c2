package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
)

// Handler serves one method. The result is sent back as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server serves the methods of the inner protocol.
type Server struct {
	key      []byte
	log      logrus.FieldLogger
	mu       sync.Mutex
	handlers map[string]Handler
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server without methods.
func NewServer(sharedKey []byte, log logrus.FieldLogger) *Server {
	return &Server{key: sharedKey, log: log, handlers: map[string]Handler{}, conns: map[net.Conn]struct{}{}}
}

// Register adds a method. It must be called before Serve.
func (s *Server) Register(method string, handler Handler) { s.handlers[method] = handler }

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

// maxConnections bounds the connections from peers and strangers.
const maxConnections = 256

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
	frames, err := newStream(conn, s.key, false)
	if err != nil {
		s.log.WithError(err).WithField("remote", conn.RemoteAddr()).Debug("peer handshake failed")
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
