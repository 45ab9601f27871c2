// Command entryloss measures what callers lose when an entry VM dies, by the
// number of entry VMs that serve their service. All VMs are processes of their
// own on loopback.
package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"

	"github.com/poplarwheel/poplarwheel/bench/internal/command"
	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/load"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

const (
	entries     = 7
	targets     = 6
	callers     = 40
	rate        = 400.0
	agreed      = 250 * time.Millisecond
	killAfter   = 2 * time.Second
	runFor      = 10 * time.Second
	serviceName = "stock"
	typeName    = "availability"
	callTimeout = time.Second
)

func main() {
	var binary string
	var seed int
	c := command.New("entryloss", "measure what callers lose when an entry VM dies")
	c.Binary(&binary)
	c.Seed(&seed)
	c.Run(func() error { return runAll(binary, uint64(seed)) })
}

func runAll(binary string, seed uint64) error {
	for _, k := range []int{1, 2, 3, 5} {
		if err := run(binary, k, seed); err != nil {
			return err
		}
	}
	return nil
}

// run kills one of k entry VMs under load and prints what callers lost.
func run(binary string, k int, seed uint64) error {
	dir, err := os.MkdirTemp("", "entryloss")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	absolute, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	f, err := fleet.Start(fleet.Options{Binary: absolute, Dir: dir, Entries: entries, Targets: targets})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := accept(f, k); err != nil {
		return err
	}
	victim, err := victim(f)
	if err != nil {
		return err
	}
	kill := time.AfterFunc(killAfter, func() { _ = f.Kill(fleet.EntryName(victim)) })
	defer kill.Stop()
	losses := newLosses(time.Now().Add(killAfter))
	send(f, seed, losses)
	losses.print(k)
	return nil
}

func accept(f *fleet.Fleet, k int) error {
	service := &config.Service{
		Name: serviceName, Team: "bench", EntrySetSize: k, Policy: config.PolicyLeastWork, RetryShare: 0.1,
		Groups: []config.TargetGroup{{Name: "main", Slots: 3, MaxConnections: 200}},
		RequestTypes: []config.RequestType{{
			Name: typeName, DeadlineMs: int(agreed.Milliseconds()), Idempotent: true, MaxAttempts: 3,
			QueueMs: int(agreed.Milliseconds()) / 2, PlatformDown: config.OutageServe,
		}},
	}
	for i := range targets {
		service.Groups[0].Targets = append(service.Groups[0].Targets, config.Target{Name: fleet.TargetName(i), Address: f.TargetAddress(i), Zone: fleet.Zone(i)})
	}
	revision, err := rollout.Accept(platform.NewClient(f.Platform, callTimeout), rollout.Acceptance{
		Services: []*config.Service{service}, By: "bench", At: time.Now(), ID: uuid.NewString(),
	})
	if err != nil {
		return err
	}
	return f.AwaitRevision(revision)
}

// victim returns the number of an entry VM that serves the service.
func victim(f *fleet.Fleet) (int, error) {
	caller := client.New(client.Options{Bootstrap: f.EntryAddresses(), Service: serviceName})
	reply, err := caller.Entries()
	if err != nil {
		return 0, err
	}
	for i, address := range f.EntryAddresses() {
		if address == reply.Addresses[0] {
			return i, nil
		}
	}
	return 0, nil
}

func send(f *fleet.Fleet, seed uint64, losses *losses) {
	var clients []*client.Client
	for range callers {
		clients = append(clients, client.New(client.Options{Bootstrap: f.EntryAddresses(), Service: serviceName}))
	}
	options := load.Options{PerSecond: rate, Duration: runFor, Arrivals: load.Poisson, Within: agreed, MaxInFlight: 4096, Seed: seed}
	load.Run(context.Background(), options, load.NewRecorder(), func(_ context.Context, n uint64) load.Result {
		due := time.Now()
		answer, err := clients[n%callers].Do(client.Request{Type: typeName, Path: "/availability", Body: []byte("{}"), Timeout: agreed})
		correct := err == nil && answer.Outcome == client.Ran
		losses.record(due, correct && time.Since(due) <= agreed)
		return load.Result{Outcome: answer.Outcome, Correct: correct}
	})
}
