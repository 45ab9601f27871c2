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

// vm is an entry VM of a simulated fleet. Its budget is lost with each restart.
type vm struct {
	budget Budget
	// frozen is until when the daemon is paused, a probe perhaps decided and
	// not yet sent.
	frozen time.Time
	ticket *Ticket
	seen   int
}

// step gives the VM one chance to send and returns whether it sent a probe.
func (v *vm) step(now time.Time, budget float64, limit int) bool {
	if now.Before(v.frozen) {
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

// restart loses all state; a probe that was decided isn't sent.
func (v *vm) restart() { *v = vm{seen: v.seen} }

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
		checkWindows(t, sent, budget, len(vms)*laneCount(budget/float64(limit)))
	})
}

func disturb(rng *rand.Rand, v *vm, now time.Time, limit int) {
	switch rng.IntN(400) {
	case 0:
		v.restart()
	case 1:
		v.frozen = now.Add(time.Duration(rng.IntN(1000)) * time.Millisecond)
	case 2:
		v.seen = rng.IntN(limit + 1)
	}
}

// checkWindows checks that no window holds more probes than the budget allows;
// at its start every lane may just have come due.
func checkWindows(t *rapid.T, sent []time.Time, budget float64, lanes int) {
	for i := range sent {
		for j := i; j < len(sent); j++ {
			allowed := budget*sent[j].Sub(sent[i]).Seconds() + float64(lanes)
			require.LessOrEqual(t, float64(j-i+1), allowed+1e-6, "from %s to %s", sent[i], sent[j])
		}
	}
}

func TestShareOff(t *testing.T) {
	var budget Budget
	budget.SetShare(time.Now(), 0)
	_, ok := budget.Start(time.Now().Add(time.Hour))
	require.False(t, ok)
}

// TestBudgetCountedAtTheTarget lets daemons with different views probe a target
// as fast as they may, restart and freeze, and counts at the target.
func TestBudgetCountedAtTheTarget(t *testing.T) {
	const (
		budget = 200.0
		limit  = 8
		length = 1500 * time.Millisecond
	)
	address := "127.77.1.1:8000"
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	target := targetd.New(targetd.Options{Name: "target", Slots: 3, MeanService: time.Millisecond, Seed: 1})
	go func() { _ = target.Serve(listener) }()
	t.Cleanup(func() { _ = target.Close() })

	began := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var running sync.WaitGroup
	for i := range limit {
		running.Go(func() { probeUntil(ctx, address, budget, limit, i) })
	}
	running.Wait()
	allowed := budget*time.Since(began).Seconds() + limit*float64(laneCount(budget/limit))
	probes := float64(target.Counts().Probes)
	t.Logf("%.0f probes, %.0f allowed", probes, allowed)
	require.LessOrEqual(t, probes, allowed)
	require.Positive(t, probes)
}

// probeUntil is one entry VM: it probes, restarts and freezes until ctx is done.
func probeUntil(ctx context.Context, address string, budget float64, limit, number int) {
	rng := rand.New(rand.NewPCG(uint64(number), 5))
	client := NewClient()
	var own Budget
	for ctx.Err() == nil {
		if rng.IntN(500) == 0 {
			own = Budget{}
		}
		own.SetShare(time.Now(), Share(budget, limit, rng.IntN(2)*limit))
		ticket, ok := own.Start(time.Now())
		if !ok {
			time.Sleep(time.Millisecond)
			continue
		}
		if rng.IntN(10) == 0 {
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
		_, _, _ = client.Fetch(address)
		own.Done(time.Now(), ticket)
	}
}
