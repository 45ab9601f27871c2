//go:build review

package stand

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Server is a stand-in for a server: it runs up to Slots requests at a time, queues up to Queue
// more and turns away the others, reports its load and keeps a list of what it ran.
type Server struct {
	ID, Service, Zone, Address string
	Slots, Queue               int
	// Silent is set if the server doesn't tell its load.
	Silent bool
	// Work is how long a request takes.
	Work time.Duration
	// Answer, if set, writes the answer to a request that has run, in place of the usual one.
	Answer func(conn net.Conn, r *Run) (keep bool)
	// TurnsAway, if set, tells whether a request is turned away although the server has room.
	TurnsAway func() bool
	// Ran, if set, is told of each request when it begins to run.
	Ran func(r *Run)

	listener net.Listener
	mu       sync.Mutex
	running  int
	waiting  int
	free     chan struct{}
	born     int64
	sequence int
	leaving  bool
	conns    map[net.Conn]struct{}
	runs     []*Run
}

// Run is a request that a server ran.
type Run struct {
	Server, ID, Method, Target string
	At                         time.Time
	BodyBytes                  int
	BodyHash                   string
}

// NewServer starts a server on a free port of a loopback address.
func NewServer(ip, id, service, zone string, work time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, Zone: zone, Address: listener.Addr().String(), Slots: 3, Queue: 6, Work: work,
		listener: listener, free: make(chan struct{}, 3), born: time.Now().UnixMilli(), conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s, nil
}

// Entry is the server's object in the store.
func (s *Server) Entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.leaving = state != "ready"
	return map[string]any{
		"address": s.Address, "born": s.born,
		"info":   map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "slots": s.Slots},
		"status": map[string]any{"state": state, "sequence": s.sequence, keyCold: 0},
	}
}

// Runs returns what the server ran.
func (s *Server) Runs() []*Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Run(nil), s.runs...)
}

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go func() {
			s.serve(conn)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// load returns the load header, or nothing if the server doesn't tell its load.
func (s *Server) load() string {
	if s.Silent {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf(ServerLoad+": %d,%d,%d,100\r\n", s.running, s.waiting, s.Slots)
}

// leavingFields returns the status of the health path and the header fields of a server that is leaving.
func (s *Server) leavingFields() (status, fields string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return "503 Service Unavailable", "Connection: close\r\n"
	}
	return "200 OK", ""
}

func (s *Server) serve(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		status, leaving := s.leavingFields()
		if request.URL.Path == "/health" {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n"+InstanceID+": %s\r\n%s%sContent-Length: 0\r\n\r\n", status, s.ID, s.load(), leaving); err != nil {
				return
			}
			continue
		}
		hash := sha256.New()
		size, err := io.Copy(hash, request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get(RequestID)
		if want := request.Header.Get(TargetInstance); want != "" && want != s.ID {
			s.reject(conn, id, "421 Misdirected Request", "")
			continue
		}
		if id == "" {
			s.reject(conn, id, "400 Bad Request", NotExecuted+": 1\r\n")
			continue
		}
		if s.TurnsAway != nil && s.TurnsAway() || !s.enter() {
			s.reject(conn, id, "503 Service Unavailable", NotExecuted+": 1\r\n")
			continue
		}
		run := &Run{Server: s.ID, ID: id, Method: request.Method, Target: request.RequestURI, At: time.Now(), BodyBytes: int(size), BodyHash: hex.EncodeToString(hash.Sum(nil)[:8])}
		s.mu.Lock()
		s.runs = append(s.runs, run)
		s.mu.Unlock()
		if s.Ran != nil {
			s.Ran(run)
		}
		time.Sleep(s.Work)
		keep := true
		if s.Answer != nil {
			keep = s.Answer(conn, run)
		} else {
			body := s.Body(run)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\n"+RequestID+": %s\r\n"+Signature+": s.%s.%s\r\n%s%sContent-Length: %d\r\n\r\n",
				id, s.ID, id, s.load(), leaving, len(body))
			if request.Method == http.MethodHead {
				body = ""
			}
			_, err = io.WriteString(conn, head+body)
		}
		s.leave()
		if err != nil || !keep || leaving != "" {
			return
		}
	}
}

// Body is the body of the usual answer to a request.
func (s *Server) Body(r *Run) string {
	return strings.Join([]string{r.Method, r.Target, r.ID, r.BodyHash, "from", s.ID}, " ")
}

func (s *Server) reject(conn net.Conn, id, status, extra string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n"+RequestID+": %s\r\n"+InstanceID+": %s\r\n%s%sContent-Length: 0\r\n\r\n", status, id, s.ID, extra, s.load())
}

// enter takes a slot, waiting in the queue if that has room.
func (s *Server) enter() bool {
	s.mu.Lock()
	if s.running+s.waiting >= s.Slots+s.Queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.free <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.running++
	s.mu.Unlock()
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.free
}

// LoadFields is the line of the load header.
func (s *Server) LoadFields() string { return s.load() }
