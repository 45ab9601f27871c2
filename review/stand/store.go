//go:build review

// Package stand holds the stand-ins that the scripts of the review share: the platform's store,
// servers, requesters and the start of gateway processes.
package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the most objects in one response to a list.
const pageItems = 500

type metadata struct {
	Name              string   `json:"name"`
	Revision          uint64   `json:"revision"`
	CreatedRev        uint64   `json:"createdRev"`
	Finalizers        []string `json:"finalizers"`
	DeletionRequested bool     `json:"deletionRequested"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	at       time.Time
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	Address string
	// StaleBy is how old the data of calls with staleRead is.
	StaleBy time.Duration

	server *http.Server
	// pinged receives the time of each read of a single object, as which gateways ping.
	pinged   chan time.Time
	silent   bool
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

// NewStore starts a store on a free port of a loopback address.
func NewStore(ip string) (*Store, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), pinged: make(chan time.Time, 1)}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an object as the operator or a server does.
func (s *Store) Put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, encoded)
}

// Delete removes an object as the platform does.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) write(kind, name string, spec json.RawMessage) object {
	o := s.objects[kind][name]
	if o.Metadata.Name != "" && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *Store) remove(kind, name string) (object, bool) {
	o, ok := s.objects[kind][name]
	if !ok {
		return o, false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
	return o, true
}

func (s *Store) record(e event) {
	e.at = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetSilent sets whether answers are lost from now on. A connection on which one is lost returns
// nothing further. Put and Delete, which stand for the operator and the servers, are served.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// loseIfSilent holds a call until its caller gives up, if the store is silent.
func (s *Store) loseIfSilent(r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
}

// AwaitPing waits for the next read of a single object.
func (s *Store) AwaitPing() {
	select {
	case <-s.pinged:
	default:
	}
	<-s.pinged
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name = strings.TrimSuffix(name, "/status")
	if !r.URL.Query().Has("watch") {
		s.loseIfSilent(r)
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		select {
		case s.pinged <- time.Now():
		default:
		}
		objects, _ := s.seen(kind, r)
		o, found := objects[name]
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	objects, at := s.seen(kind, r)
	var names []string
	for name := range objects {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	items := []object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, objects[name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, keyRevision: at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(keyWait))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	lag := s.lag(r)
	for {
		s.mu.Lock()
		events := []event{}
		at, due := after, time.Hour
		for _, e := range s.events {
			if wait := lag - time.Since(e.at); wait > 0 {
				due = wait
				break
			}
			at = max(at, e.revision)
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.loseIfSilent(r)
			reply(w, http.StatusOK, map[string]any{"events": events, keyRevision: at})
			return
		}
		select {
		case <-changed:
		case <-time.After(due):
		case <-limit:
			s.loseIfSilent(r)
			reply(w, http.StatusOK, map[string]any{"events": events, keyRevision: at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.write(kind, name, o.Spec))
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodDelete:
		removed, _ := s.remove(kind, name)
		reply(w, http.StatusOK, removed)
	default:
		reply(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

// lag is how old the data that a call sees is.
func (s *Store) lag(r *http.Request) time.Duration {
	if r.URL.Query().Get(keyStale) != "1" {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.StaleBy
}

// SetStaleBy sets how old the data of calls with staleRead is from now on.
func (s *Store) SetStaleBy(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.StaleBy = age
}

// seen returns the objects of a kind that a call sees, and their revision.
func (s *Store) seen(kind string, r *http.Request) (map[string]object, uint64) {
	lag := s.lag(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, at := map[string]object{}, uint64(1)
	for _, e := range s.events {
		if time.Since(e.at) < lag {
			break
		}
		at = e.revision
		switch {
		case e.kind != kind:
		case e.Deleted:
			delete(objects, e.Object.Metadata.Name)
		default:
			objects[e.Object.Metadata.Name] = e.Object
		}
	}
	return objects, at
}

// Beat writes a server's entry as the server does. The entry changes when more than its sequence
// changes.
func (s *Store) Beat(name string, entry map[string]any) {
	encoded, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects["servers"][name]
	if ok && withoutSequence(current.Spec) == withoutSequence(encoded) {
		current.Spec = encoded
		s.objects["servers"][name] = current
		return
	}
	s.write("servers", name, encoded)
}

// withoutSequence returns an entry without its sequence.
func withoutSequence(spec []byte) string {
	var entry struct {
		Address string         `json:"address"`
		Born    int64          `json:"born"`
		Info    map[string]any `json:"info"`
		Status  map[string]any `json:"status"`
	}
	if err := json.Unmarshal(spec, &entry); err != nil {
		return string(spec)
	}
	delete(entry.Status, "sequence")
	encoded, _ := json.Marshal(entry)
	return string(encoded)
}
