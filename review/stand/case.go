//go:build review

package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Case is a script in progress.
type Case struct {
	*Record
	// Dir is a temporary folder.
	Dir string
	// Disturb tells whether the disruption is applied.
	Disturb bool

	closers []func()
}

// Main runs a case, whose folder is the first argument, and ends the process. Body returns whether the
// rule was broken.
func Main(body func(c *Case) (broken bool, err error)) {
	os.Exit(run(body))
}

func run(body func(c *Case) (broken bool, err error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		return Failed
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c := &Case{Record: record, Dir: dir, Disturb: os.Getenv("TROUBLE") != "0"}
	c.Line("disruption: %t", c.Disturb)
	broken, err := body(c)
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
	if err == nil && c.served.Load() == 0 {
		err = errors.New("no request was served")
	}
	switch {
	case err != nil:
		c.Line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return Failed
	case broken:
		c.Line("result: the rule was broken")
		fmt.Println("the rule was broken")
		return Broken
	}
	c.Line("result: the rule held")
	fmt.Println("the rule held")
	return Held
}

// AtEnd calls f when the case ends.
func (c *Case) AtEnd(f func()) { c.closers = append(c.closers, f) }

// IP is the address of everything that a case starts.
const IP = "127.0.0.1"

// Zone is the only zone.
const Zone = "z-a"

// Store starts the store.
func (c *Case) Store() (*Store, error) {
	s, err := NewStore(IP)
	if err == nil {
		c.AtEnd(s.Close)
	}
	return s, err
}

// Servers starts servers of a service and lists them.
func (c *Case) Servers(store *Store, service string, count int, work time.Duration) ([]*Server, error) {
	var servers []*Server
	for i := range count {
		s, err := NewServer(IP, fmt.Sprintf("i-%s-%d", service, i), service, Zone, work)
		if err != nil {
			return nil, err
		}
		s.Ran = func(r *Run) { c.Line("ran %s %s %s at %s (%d bytes)", r.ID, r.Method, r.Target, r.Server, r.BodyBytes) }
		c.AtEnd(s.Close)
		store.Put("servers", s.ID, s.Entry("ready"))
		servers = append(servers, s)
	}
	return servers, nil
}

// Gateway starts a gateway and waits until it is ready.
func (c *Case) Gateway(store *Store, name string) (*Gateway, error) {
	g, err := NewGateway(c.Dir, name, IP, Zone, store.Address)
	if err != nil {
		return nil, err
	}
	if err := g.Start(); err != nil {
		return nil, err
	}
	c.AtEnd(g.Kill)
	if !g.AwaitReady(15 * time.Second) {
		return nil, fmt.Errorf("%s is not ready:\n%s", name, g.LogText())
	}
	c.Line("%s is ready", name)
	return g, nil
}

// Conn is a requester's connection to a gateway.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	record *Record
	// Used is the number of requests that were sent on it.
	Used int
}

// Dial opens a requester's connection.
func (c *Case) Dial(g *Gateway) (*Conn, error) {
	conn, err := net.DialTimeout("tcp4", g.Front, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, Reader: bufio.NewReader(conn), record: c.Record}, nil
}

// Answer is what a requester got.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	Err    error
}

func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("%s: %v", a.ID, a.Err)
	}
	return fmt.Sprintf("%s: %d %q", a.ID, a.Status, a.Body)
}

// Signed tells whether a server has signed the answer.
func (a Answer) Signed() bool { return a.Header.Get(Signature) != "" }

// Head returns the head of a request.
func Head(method, path, id string, deadline time.Duration, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n"+RequestID+": %s\r\n"+DeadlineMs+": %d\r\n%s\r\n",
		method, path, Host, id, deadline.Milliseconds(), strings.Join(fields, ""))
}

// Do sends a request and waits for its answer until the deadline. It records both.
func (c *Conn) Do(method, path, id string, deadline time.Duration, body string) Answer {
	c.record.Line("sent %s %s %s (%d bytes)", id, method, path, len(body))
	answer := c.DoQuietly(method, path, id, deadline, body)
	c.record.Line("answered %s", answer)
	return answer
}

// DoQuietly is Do without a record.
func (c *Conn) DoQuietly(method, path, id string, deadline time.Duration, body string) Answer {
	var fields []string
	if method != http.MethodGet && method != http.MethodHead {
		fields = []string{fmt.Sprintf("Content-Length: %d\r\n", len(body))}
	}
	c.Used++
	if err := c.SetDeadline(time.Now().Add(deadline)); err != nil {
		return Answer{ID: id, Err: err}
	}
	if _, err := io.WriteString(c, Head(method, path, id, deadline, fields...)+body); err != nil {
		return Answer{ID: id, Err: err}
	}
	answer := c.Read(method, id)
	if answer.Err == nil && answer.Status == http.StatusOK {
		c.record.served.Add(1)
	}
	return answer
}

// Read reads an answer.
func (c *Conn) Read(method, id string) Answer {
	response, err := http.ReadResponse(c.Reader, &http.Request{Method: method})
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Answer{ID: id, Status: response.StatusCode, Header: response.Header, Body: string(data), Err: err}
}
