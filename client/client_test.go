package client

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// settleTimeout bounds the wait for something that has to happen.
const settleTimeout = 10 * time.Second

// fakeEntry answers the question which entry VMs to use, and calls by serve.
type fakeEntry struct {
	address string
	asked   atomic.Int64
	keep    atomic.Int64

	mu      sync.Mutex
	entries []string
	serve   func(ctx *fasthttp.RequestCtx)
}

func startEntry(t *testing.T, serve func(ctx *fasthttp.RequestCtx)) *fakeEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeEntry{address: listener.Addr().String(), serve: serve}
	f.entries = []string{f.address}
	f.keep.Store(60)
	server := &fasthttp.Server{Handler: f.handle, CloseOnShutdown: true}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return f
}

func (f *fakeEntry) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != wire.PathEntries {
		f.serve(ctx)
		return
	}
	f.asked.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	body, _ := json.Marshal(wire.EntriesReply{Entries: f.entries, KeepSeconds: int(f.keep.Load()), SessionToken: "token"})
	ctx.SetBody(body)
}

func answer(outcome string) func(ctx *fasthttp.RequestCtx) {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(wire.HeaderOutcome, outcome)
		ctx.SetBody(ctx.PostBody())
	}
}

func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func TestAnswerIsKeptAsLongAsTold(t *testing.T) {
	entry := startEntry(t, answer(wire.OutcomeRan))
	c := New(Options{Bootstrap: []string{closedAddress(t), entry.address}, Service: "stock"})
	for range 5 {
		_, err := c.Do(Request{Timeout: time.Second})
		require.NoError(t, err)
	}
	require.Equal(t, int64(1), entry.asked.Load())

	d := &c.directory
	kept, err := d.entries(d.until.Add(-time.Nanosecond))
	require.NoError(t, err, "an answer that is still good is used while it is renewed")
	require.Equal(t, []string{entry.address}, kept.Addresses)
	require.Eventually(t, func() bool { return !d.isRefreshing() }, settleTimeout, time.Millisecond)
	require.Equal(t, int64(2), entry.asked.Load())
	_, err = d.entries(time.Now().Add(time.Hour))
	require.NoError(t, err)
	require.Equal(t, int64(3), entry.asked.Load())
}

func (d *directory) isRefreshing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refreshing != nil
}

func TestRefusedConnectionIsPassedOver(t *testing.T) {
	entry := startEntry(t, answer(wire.OutcomeRan))
	entry.entries = []string{closedAddress(t), entry.address}
	c := New(Options{Bootstrap: []string{entry.address}, Service: "stock"})
	for range 4 {
		got, err := c.Do(Request{Body: []byte("rope"), Timeout: time.Second})
		require.NoError(t, err)
		require.Equal(t, Answer{Outcome: Ran, Status: 200, Body: []byte("rope"), Entry: entry.address}, got)
	}
}

func TestErrorsSayWhatBecameOfTheRequest(t *testing.T) {
	var noEntry *NoEntryError
	got, err := New(Options{Bootstrap: []string{closedAddress(t)}}).Do(Request{Timeout: time.Second})
	require.ErrorAs(t, err, &noEntry)
	require.Equal(t, NotRun, got.Outcome)

	var notSent *NotSentError
	got, err = New(Options{}).DoAt(context.Background(), closedAddress(t), Request{Timeout: time.Second})
	require.ErrorAs(t, err, &notSent)
	require.Equal(t, NotRun, got.Outcome)

	entry := startEntry(t, func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() })
	var lost *LostError
	got, err = New(Options{Bootstrap: []string{entry.address}}).Do(Request{Timeout: time.Second})
	require.ErrorAs(t, err, &lost)
	require.Equal(t, Unknown, got.Outcome)

	unknown := startEntry(t, nil)
	unknown.entries = nil
	var status *StatusError
	_, err = New(Options{Bootstrap: []string{unknown.address}}).Entries()
	require.ErrorAs(t, err, &status)
}

func TestResendsKeepTheKeyAndAreCounted(t *testing.T) {
	var mu sync.Mutex
	var sends []string
	outcomes := []string{wire.OutcomeUnknown, wire.OutcomeNotRun, wire.OutcomeRan}
	entry := startEntry(t, func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		defer mu.Unlock()
		header := &ctx.Request.Header
		sends = append(sends, string(header.Peek(wire.HeaderIdempotencyKey))+" "+string(header.Peek(wire.HeaderResend)))
		ctx.Response.Header.Set(wire.HeaderOutcome, outcomes[len(sends)-1])
	})
	c := New(Options{Bootstrap: []string{entry.address}})
	key, err := c.NewKey()
	require.NoError(t, err)
	got, err := c.DoUntilRan(context.Background(), Request{Key: key, Timeout: time.Second}, Resends{Max: 5, Pause: time.Millisecond})
	require.NoError(t, err)
	require.Equal(t, Ran, got.Outcome)
	require.Equal(t, 2, got.Resends)
	require.Equal(t, []string{key + " 0", key + " 1", key + " 2"}, sends)
}

func TestOutcomeCoversAllSends(t *testing.T) {
	for _, c := range []struct {
		earlier, last Outcome
		aboutAll      bool
		want          Outcome
	}{
		{NotRun, NotRun, false, NotRun},
		{NotRun, Unknown, false, Unknown},
		{Unknown, NotRun, false, Unknown},
		{Unknown, NotRun, true, NotRun},
		{Unknown, Ran, false, Ran},
		{Unknown, Unknown, true, Unknown},
	} {
		require.Equal(t, c.want, combine(c.earlier, c.last, c.aboutAll), "%+v", c)
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	received, closed := make(chan struct{}), make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		_, _ = conn.Read(buffer)
		close(received)
		for err == nil {
			_, err = conn.Read(buffer)
		}
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	got, err := New(Options{}).DoAt(ctx, listener.Addr().String(), Request{Timeout: time.Minute})
	require.Error(t, err)
	require.Equal(t, Unknown, got.Outcome)
	select {
	case <-closed:
	case <-time.After(settleTimeout):
		t.Fatal("the connection is still open")
	}
}
