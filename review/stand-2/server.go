//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that has reached a server.
type arrival struct {
	id string
	at time.Time
	// ran is set if the server began to work on it.
	ran bool
}

// server is a stand-in of a server at the published protocol. It has more room than it tells.
type server struct {
	run               *run
	id, service, zone string
	slots             int
	work              time.Duration
	born              int64
	listener          net.Listener
	// onBegin is called with the path of each request that the server begins to work on. It returns
	// true for one that is never answered.
	onBegin   func(path string) bool
	crashOnce sync.Once
	http      *http.Server

	mu       sync.Mutex
	running  int
	arrivals []arrival
	draining bool
}

// addServer starts a server and registers it as ready.
func (r *run) addServer(id, service, zone string, slots int, work time.Duration) (*server, error) {
	s := &server{run: r, id: id, service: service, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli()}
	var err error
	if s.listener, err = net.Listen("tcp4", net.JoinHostPort(r.subnet.Host(3), "0")); err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(s.listener) }()
	r.servers = append(r.servers, s)
	return s, s.register("ready")
}

// register writes the server's entry in a state.
func (s *server) register(state string) error {
	s.mu.Lock()
	s.draining = state == "draining"
	s.mu.Unlock()
	return s.run.store.Put("servers", s.id, map[string]any{
		"address": s.listener.Addr().String(), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "sequence": time.Now().UnixMilli() - s.born + 1, keyCold: 0},
	})
}

func (s *server) close() { _ = s.http.Close() }

// seen returns the requests that have reached the server.
func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// begin records a request that has reached the server.
func (s *server) begin(id string, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now(), ran: ran})
	if ran {
		s.running++
	}
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// load returns the server's load header and whether it is draining.
func (s *server) load() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := min(s.running, s.slots)
	return fmt.Sprintf("%d,%d,%d,100", running, s.running-running, s.slots), s.draining
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	load, draining := s.load()
	w.Header().Set(headerLoad, load)
	if request.URL.Path == "/health" {
		w.Header().Set(headerInstanceID, s.id)
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := request.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	_, _ = io.Copy(io.Discard, request.Body)
	if want := request.Header.Get(headerTargetInstance); want != "" && want != s.id {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.begin(id, true)
	defer s.end()
	if s.onBegin != nil && s.onBegin(request.URL.Path) {
		<-request.Context().Done()
		return
	}
	select {
	case <-time.After(s.work):
	case <-request.Context().Done():
		return
	}
	w.Header().Set(headerSignature, "signed-by-"+s.id)
	_, _ = fmt.Fprintf(w, "%s %s by %s", request.Method, request.URL.RequestURI(), s.id)
}
