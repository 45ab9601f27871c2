package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func valid() *Service {
	return &Service{
		Name: "stock", Team: "swanbrook", EntrySetSize: 3, Policy: PolicyLeast,
		ProbesPerSecond: 8, RetryShare: 0.1, HedgeShare: 0.05,
		Groups: []TargetGroup{{Name: "main", Slots: 3, MaxConnections: 200, Targets: []Target{
			{Name: "stock-1", Address: "10.20.1.11:8000", Zone: "perth-a"},
			{Name: "stock-2", Address: "10.20.1.12:8000", Zone: "perth-b"},
		}}},
		RequestTypes: []RequestType{
			{Name: "availability", DeadlineMs: 250, Idempotent: true, MaxAttempts: 3, HedgeAfterMs: 15, QueueMs: 125, PlatformDown: OutageServe},
			{Name: "book", DeadlineMs: 2000, MaxAttempts: 2, QueueMs: 1000, Recorded: true, PlatformDown: OutageRefuse},
		},
	}
}

func TestEncodedServiceParses(t *testing.T) {
	encoded, err := valid().Encode()
	require.NoError(t, err)
	parsed, err := ParseService(encoded)
	require.NoError(t, err)
	require.Equal(t, valid(), parsed)
	again, err := parsed.Encode()
	require.NoError(t, err)
	require.Equal(t, Hash(encoded), Hash(again))
}

func TestCheckRefuses(t *testing.T) {
	for problem, spoil := range map[string]func(*Service){
		"name: must be given":                          func(s *Service) { s.Name = "" },
		`name: is "a/b", must be letters`:              func(s *Service) { s.Name = "a/b" },
		"entry_set_size: is 0, must be at least 1":     func(s *Service) { s.EntrySetSize = 0 },
		"probes_per_second: is -1, must be at least 0": func(s *Service) { s.ProbesPerSecond = -1 },
		"retry_share: is 1.5, must be at most 1":       func(s *Service) { s.RetryShare = 1.5 },
		"hedge_share: is -0.1, must be at least 0":     func(s *Service) { s.HedgeShare = -0.1 },
		"must be at least the number of entry VMs, 24": func(s *Service) { s.Groups[0].MaxConnections = DefaultEntryVMLimit - 1 },
		"groups: must be given":                        func(s *Service) { s.Groups = nil },
		"groups: must not repeat a name":               func(s *Service) { s.Groups = append(s.Groups, s.Groups[0]) },
		"groups[0].slots: is 0, must be at least 1":    func(s *Service) { s.Groups[0].Slots = 0 },
		`groups[0].targets[1].address: is "10.20.1.12", must be ip:port`: func(s *Service) {
			s.Groups[0].Targets[1].Address = "10.20.1.12"
		},
		"groups[0].targets: must not repeat a name": func(s *Service) { s.Groups[0].Targets[1].Name = "stock-1" },
		`stock.spare.stock-1: target is in group "main" too`: func(s *Service) {
			s.Groups = append(s.Groups, TargetGroup{Name: "spare", Slots: 3, MaxConnections: 200, Targets: s.Groups[0].Targets[:1]})
		},
		"request_types: must be given":                                            func(s *Service) { s.RequestTypes = nil },
		"request_types[0].deadline_ms: is 0, must be at least 1":                  func(s *Service) { s.RequestTypes[0].DeadlineMs = 0 },
		"request_types[0].max_attempts: is 6, must be at most 5":                  func(s *Service) { s.RequestTypes[0].MaxAttempts = 6 },
		`request_types[1].platform_down: is "wait", must be one of: serve refuse`: func(s *Service) { s.RequestTypes[1].PlatformDown = "wait" },
		"stock.book.hedge_after_ms: must be 0 for a request type that is not idempotent": func(s *Service) {
			s.RequestTypes[1].HedgeAfterMs = 10
		},
		"stock.availability.recorded: must be false for a request type that is idempotent": func(s *Service) {
			s.RequestTypes[0].Recorded = true
		},
		"stock.availability.queue_ms: is 251, must be at most the deadline, 250": func(s *Service) {
			s.RequestTypes[0].QueueMs = 251
		},
	} {
		t.Run(problem, func(t *testing.T) {
			service := valid()
			spoil(service)
			require.ErrorContains(t, service.Check(), problem)
			encoded, err := json.Marshal(service)
			require.NoError(t, err)
			_, err = ParseService(encoded)
			require.ErrorContains(t, err, problem)
		})
	}
}
