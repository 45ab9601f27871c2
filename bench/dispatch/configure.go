package main

import (
	"time"

	"github.com/google/uuid"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

const (
	// requestType is the request type of every call.
	requestType = "availability"
	// platformTimeout bounds a call to the platform.
	platformTimeout = 2 * time.Second
	// retryShare is the share of calls that may be retried.
	retryShare = 0.1
)

// configure brings two services with the given bound of the wait into force.
func configure(f *fleet.Fleet, queue time.Duration) error {
	store := platform.NewClient(f.Platform, platformTimeout)
	head, _, err := rollout.ReadHead(store)
	if err != nil {
		return err
	}
	revision, err := rollout.Accept(store, rollout.Acceptance{
		Base:     head.Revision,
		Services: []*config.Service{service(f, "stock", 0, queue), service(f, "logistics", targetsPerService, queue)},
		By:       "bench",
		At:       time.Now().UTC(),
		ID:       uuid.NewString(),
	})
	if err != nil {
		return err
	}
	return f.AwaitRevision(revision)
}

func service(f *fleet.Fleet, name string, first int, queue time.Duration) *config.Service {
	group := config.TargetGroup{Name: "main", Slots: slots, MaxConnections: 200}
	for _, server := range f.Servers(first, first+targetsPerService-1) {
		group.Targets = append(group.Targets, config.Target{
			Name:    server.Name,
			Address: f.TargetAddress(first + len(group.Targets)),
			Zone:    server.Zone,
		})
	}
	return &config.Service{
		Name:         name,
		Team:         "bench",
		EntrySetSize: entries,
		Policy:       config.PolicyLeast,
		RetryShare:   retryShare,
		Groups:       []config.TargetGroup{group},
		RequestTypes: []config.RequestType{{
			Name:         requestType,
			DeadlineMs:   int(agreed.Milliseconds()),
			Idempotent:   true,
			MaxAttempts:  3,
			QueueMs:      int(queue.Milliseconds()),
			PlatformDown: config.OutageServe,
		}},
	}
}
