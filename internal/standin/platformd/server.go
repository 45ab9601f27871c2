package platformd

import (
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// Control paths of the stand-in.
const (
	// PathControlVMs adds (PUT) or removes (DELETE) the VM in the body.
	PathControlVMs = "/control/vms"
	// PathControlFaults replaces the Faults.
	PathControlFaults = "/control/faults"
	// PathControlCounts returns Counts.
	PathControlCounts = "/control/counts"
)

// Server serves a Store over HTTP.
type Server struct {
	store  *Store
	http   *fasthttp.Server
	faults atomic.Pointer[faultState]
	counts counters
}

// NewServer returns a server with an empty store.
func NewServer() *Server {
	s := &Server{store: NewStore()}
	s.faults.Store(newFaultState(Faults{}, time.Now()))
	s.http = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: 2 * platform.MaxValueBytes, NoDefaultServerHeader: true, Logger: quiet{}}
	return s
}

// Store returns the server's store.
func (s *Server) Store() *Store { return s.store }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	next := newFaultState(faults, time.Now())
	s.store.SetListLag(next.listLag())
	close(s.faults.Swap(next).ended)
}

// Counts returns the calls received since the start.
func (s *Server) Counts() Counts { return s.counts.snapshot() }

// Serve accepts connections until Close.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Close stops the server. It may be called once.
func (s *Server) Close() error {
	s.SetFaults(Faults{})
	s.store.Close()
	return s.http.Shutdown()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/control/") {
		s.control(ctx, path)
		return
	}
	s.counts.received(time.Now())
	faults := s.faults.Load()
	if faults.DelayMs > 0 {
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	}
	if faults.down(time.Now()) {
		s.counts.unavailable.Add(1)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if ctx.IsGet() {
		s.read(ctx, path, faults)
		return
	}
	s.change(ctx, path, faults)
}

func (s *Server) read(ctx *fasthttp.RequestCtx, path string, faults *faultState) {
	if !faults.reads.Allow() {
		s.counts.limitedReads.Add(1)
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	key, isObject := strings.CutPrefix(path, platform.PathObjects)
	_, wait := waitArgs(ctx)
	switch {
	case path == platform.PathVMs:
		s.counts.lists.Add(1)
		if wait == 0 || !faults.watchFault(ctx) {
			s.vms(ctx)
		}
	case isObject && wait == 0 && ctx.QueryArgs().Has(platform.ArgAfter):
		s.counts.reads.Add(1)
		s.watch(ctx, key)
	case !isObject || key == "":
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case ctx.QueryArgs().Has(platform.ArgAfter):
		s.counts.watches.Add(1)
		if !faults.watchFault(ctx) {
			s.watch(ctx, key)
		}
	default:
		s.counts.reads.Add(1)
		s.get(ctx, key)
	}
}

func (s *Server) change(ctx *fasthttp.RequestCtx, path string, faults *faultState) {
	key, isObject := strings.CutPrefix(path, platform.PathObjects)
	if !isObject || key == "" || !(ctx.IsPut() || ctx.IsDelete()) {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	if !faults.writes.Allow() {
		s.counts.limitedWrites.Add(1)
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	if len(ctx.PostBody()) > platform.MaxValueBytes {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	s.counts.writes.Add(1)
	s.write(ctx, key)
	if faults.losesAnswer() {
		s.counts.lostAnswers.Add(1)
		_ = ctx.Conn().Close()
	}
}

func (s *Server) get(ctx *fasthttp.RequestCtx, key string) {
	object, err := s.store.Get(key)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	writeObject(ctx, object)
}

func (s *Server) watch(ctx *fasthttp.RequestCtx, key string) {
	after, wait := waitArgs(ctx)
	object, ok := s.store.Watch(key, after, wait)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	writeObject(ctx, object)
}

func (s *Server) vms(ctx *fasthttp.RequestCtx) {
	after, wait := waitArgs(ctx)
	list, ok := s.store.VMs(after, wait)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	writeJSON(ctx, list)
}

func (s *Server) write(ctx *fasthttp.RequestCtx, key string) {
	version, ok := expectedVersion(ctx)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusPreconditionRequired)
		return
	}
	var next platform.Version
	var err error
	if ctx.IsDelete() {
		err = s.store.Delete(key, version)
	} else {
		next, err = s.store.Put(key, version, ctx.PostBody())
	}
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &conflict):
		ctx.Response.Header.Set(fasthttp.HeaderETag, platform.FormatVersion(conflict.Have))
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case errors.As(err, &missing):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		ctx.Response.Header.Set(fasthttp.HeaderETag, platform.FormatVersion(next))
	}
}

func (s *Server) control(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case PathControlVMs:
		s.controlVMs(ctx)
	case PathControlFaults:
		var faults Faults
		if readJSON(ctx, &faults) {
			s.SetFaults(faults)
		}
	case PathControlCounts:
		writeJSON(ctx, s.Counts())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) controlVMs(ctx *fasthttp.RequestCtx) {
	var vm platform.VM
	if !readJSON(ctx, &vm) {
		return
	}
	if ctx.IsDelete() {
		s.store.RemoveVM(vm.Name)
		return
	}
	s.store.SetVM(vm)
}

// expectedVersion returns the version that a write expects: 0 for a creation.
func expectedVersion(ctx *fasthttp.RequestCtx) (platform.Version, bool) {
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == "*" {
		return 0, true
	}
	version := platform.ParseVersion(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)))
	return version, version > 0
}

func waitArgs(ctx *fasthttp.RequestCtx) (platform.Version, time.Duration) {
	args := ctx.QueryArgs()
	after := args.GetUintOrZero(platform.ArgAfter)
	wait := args.GetUintOrZero(platform.ArgWaitMs)
	return platform.Version(after), time.Duration(wait) * time.Millisecond
}

func writeObject(ctx *fasthttp.RequestCtx, object platform.Object) {
	ctx.Response.Header.Set(fasthttp.HeaderETag, platform.FormatVersion(object.Version))
	ctx.SetBody(object.Value)
}

func readJSON(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.PostBody(), value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// quiet drops the log of the HTTP library, which reports every imitated fault.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}
