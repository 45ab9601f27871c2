package probe

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

// vm is a simulated entry VM. A restart resets its budget.
type vm struct {
	budget Budget
	// pausedUntil is the end of a pause of the process. The pause may fall between the
	// start of a probe and its sending.
	pausedUntil time.Time
	// ticket is the ticket of a probe that was started and is not yet sent.
	ticket *Ticket
	// seen is the number of entry VMs that this one sees.
	seen int
}

// step lets the VM start a probe, or send the one that it has started. It reports
// whether a probe was sent.
func (v *vm) step(now time.Time, budget float64, limit int) bool {
	if now.Before(v.pausedUntil) {
		return false
	}
	if v.ticket != nil {
		v.budget.Done(now, *v.ticket)
		v.ticket = nil
		return true
	}
	v.budget.SetShare(now, Share(budget, limit, v.seen))
	ticket, ok := v.budget.Start(now)
	if ok {
		v.ticket = &ticket
	}
	return false
}

// restart resets the state. A probe that was started is not sent.
func (v *vm) restart() { *v = vm{seen: v.seen} }

// Daemons that see different numbers of daemons, restart and pause must not send more
// probes together than the budget allows in any time window.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		budget := rapid.Float64Range(0.5, 300).Draw(t, "budget")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		vms := make([]*vm, rapid.IntRange(1, limit).Draw(t, "VMs"))
		for i := range vms {
			vms[i] = &vm{seen: rapid.IntRange(0, limit).Draw(t, "seen")}
		}
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var sent []time.Time
		for step := range 2000 {
			now := start.Add(time.Duration(step) * 2 * time.Millisecond)
			for _, v := range vms {
				disturb(rng, v, now, limit)
				if v.step(now, budget, limit) {
					sent = append(sent, now)
				}
			}
		}
		checkWindows(t, sent, budget, len(vms)*slotCount(budget/float64(limit)))
	})
}

// disturb may restart or pause the VM or change the number of VMs that it sees.
func disturb(rng *rand.Rand, v *vm, now time.Time, limit int) {
	switch rng.IntN(400) {
	case 0:
		v.restart()
	case 1:
		v.pausedUntil = now.Add(time.Duration(rng.IntN(1000)) * time.Millisecond)
	case 2:
		v.seen = rng.IntN(limit + 1)
	}
}

// checkWindows checks that no time window holds more probes than the budget allows. At its
// start a probe of every slot may be due.
func checkWindows(t *rapid.T, sent []time.Time, budget float64, slots int) {
	for i := range sent {
		for j := i; j < len(sent); j++ {
			allowed := budget*sent[j].Sub(sent[i]).Seconds() + float64(slots)
			require.LessOrEqual(t, float64(j-i+1), allowed+1e-6, "probes sent from %s to %s", sent[i], sent[j])
		}
	}
}

func TestNoProbesWithShareOfZero(t *testing.T) {
	var budget Budget
	budget.SetShare(time.Now(), 0)
	_, ok := budget.Start(time.Now().Add(time.Hour))
	require.False(t, ok)
}

// TestBudgetCountedAtTheTarget probes a target from daemons that see different numbers of
// daemons, restart, pause and send as fast as they may. The target counts the probes.
func TestBudgetCountedAtTheTarget(t *testing.T) {
	const (
		budget   = 200.0
		limit    = 8
		duration = 1500 * time.Millisecond
	)
	address := "127.77.1.1:8000"
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	target := targetd.New(targetd.Options{Name: "target", Slots: 3, MeanService: time.Millisecond, Seed: 1})
	go func() { _ = target.Serve(listener) }()
	t.Cleanup(func() { _ = target.Close() })

	started := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	var running sync.WaitGroup
	for i := range limit {
		running.Go(func() { probeUntil(ctx, address, budget, limit, i) })
	}
	running.Wait()
	allowed := budget*time.Since(started).Seconds() + limit*float64(slotCount(budget/limit))
	probes := float64(target.Counts().Probes)
	t.Logf("%.0f probes, %.0f allowed", probes, allowed)
	require.LessOrEqual(t, probes, allowed)
	require.Positive(t, probes)
}

// probeUntil runs one entry VM, which probes, restarts and pauses until ctx is done.
func probeUntil(ctx context.Context, address string, budget float64, limit, index int) {
	rng := rand.New(rand.NewPCG(uint64(index), 5))
	client := NewClient()
	var ownBudget Budget
	for ctx.Err() == nil {
		if rng.IntN(500) == 0 {
			ownBudget = Budget{}
		}
		ownBudget.SetShare(time.Now(), Share(budget, limit, rng.IntN(2)*limit))
		ticket, ok := ownBudget.Start(time.Now())
		if !ok {
			time.Sleep(time.Millisecond)
			continue
		}
		if rng.IntN(10) == 0 {
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
		_, _, _ = client.Fetch(address)
		ownBudget.Done(time.Now(), ticket)
	}
}
