package proxy

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// startFakeTarget serves a fake target and returns it with its address.
func startFakeTarget(t *testing.T, options targetd.Options) (*targetd.Target, string) {
	t.Helper()
	listener := listen(t)
	target := targetd.New(options)
	go func() { _ = target.Serve(listener) }()
	t.Cleanup(func() { _ = target.Close() })
	return target, listener.Addr().String()
}

// Each attempt must be sent with the time that is left of the caller's timeout, so that a
// target doesn't work on requests that the caller has given up.
func TestRetryIsSentWithTheRemainingTimeout(t *testing.T) {
	timeouts := make(chan int, 2)
	const failureDelay = 50 * time.Millisecond
	slowFailure := func(ctx *fasthttp.RequestCtx) {
		ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(wire.HeaderTimeout)))
		if err == nil {
			timeouts <- ms
		}
		time.Sleep(failureDelay)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	_, entry := startEntry(t, serviceOf(startTarget(t, slowFailure), startTarget(t, slowFailure)))
	const timeoutMs = 5000
	post(t, entry, "read", map[string]string{wire.HeaderTimeout: strconv.Itoa(timeoutMs)})
	first, second := <-timeouts, <-timeouts
	require.LessOrEqual(t, first, timeoutMs)
	require.LessOrEqual(t, second, first-int(failureDelay.Milliseconds()))
}

func TestSlowerOfTwoHedgedAttemptsIsCanceledAtItsTarget(t *testing.T) {
	slow, slowAddress := startFakeTarget(t, targetd.Options{Name: "slow", Slots: 3, MeanService: time.Hour, Seed: 1})
	_, fastAddress := startFakeTarget(t, targetd.Options{Name: "fast", Slots: 3, MeanService: time.Millisecond, Seed: 1})
	service := serviceOf(slowAddress, fastAddress)
	service.HedgeShare = 1
	_, entry := startEntry(t, service)
	require.Eventually(t, func() bool {
		response := post(t, entry, "hedged", nil)
		return response.StatusCode() == fasthttp.StatusOK && len(slow.Journal()) > 0
	}, callTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return slow.Journal()[0].Canceled }, callTimeout, time.Millisecond)
}

// A lost response doesn't tell whether the request ran, so another attempt might run a
// non-idempotent request twice.
func TestNonIdempotentCallThatMayHaveRunIsNotRetried(t *testing.T) {
	first, firstAddress := startFakeTarget(t, targetd.Options{Name: "first", Slots: 3, Seed: 1})
	first.SetFaults(targetd.Faults{CutAnswers: true})
	second, secondAddress := startFakeTarget(t, targetd.Options{Name: "second", Slots: 3, Seed: 1})
	second.SetFaults(targetd.Faults{CutAnswers: true})
	p, entry := startEntry(t, serviceOf(firstAddress, secondAddress))
	key := p.guard.Token(time.Now(), false).String() + ":1"
	response := post(t, entry, "book", map[string]string{wire.HeaderIdempotencyKey: key})
	require.Equal(t, wire.OutcomeUnknown, string(response.Header.Peek(wire.HeaderOutcome)))
	require.Equal(t, 1, len(first.Journal())+len(second.Journal()))
}

// A target that is leaving refuses requests without running them, so that also
// non-idempotent calls can be retried.
func TestNonIdempotentCallRefusedByALeavingTargetIsRetried(t *testing.T) {
	leaving, leavingAddress := startFakeTarget(t, targetd.Options{Name: "leaving", Slots: 3, Seed: 1})
	leaving.SetFaults(targetd.Faults{Leaving: true})
	active, activeAddress := startFakeTarget(t, targetd.Options{Name: "active", Slots: 3, Seed: 1})
	p, entry := startEntry(t, serviceOf(leavingAddress, activeAddress))
	const bookings = 20
	for i := range bookings {
		key := p.guard.Token(time.Now(), false).String() + ":" + strconv.Itoa(i)
		response := post(t, entry, "book", map[string]string{wire.HeaderIdempotencyKey: key})
		require.Equal(t, wire.OutcomeRan, string(response.Header.Peek(wire.HeaderOutcome)))
	}
	require.Empty(t, leaving.Journal())
	require.Len(t, active.Journal(), bookings)
	require.LessOrEqual(t, leaving.Counts().Requests, uint64(1))
}

func TestServiceIsServedAfterAConfigurationWithUnknownPolicy(t *testing.T) {
	_, address := startFakeTarget(t, targetd.Options{Name: "active", Slots: 3, Seed: 1})
	service := serviceOf(address)
	p, entry := startEntry(t, service)
	broken := *service
	broken.Policy = "no such policy"
	p.Apply(&config.Snapshot{Revision: 2, Services: map[string]*config.Service{"stock": &broken}})
	require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
}
