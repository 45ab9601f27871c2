package fleet

import (
	"time"

	"github.com/google/uuid"

	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

// Servers returns the targets from first to last as servers of a questionnaire.
func (f *Fleet) Servers(first, last int) []questionnaire.Server {
	var servers []questionnaire.Server
	for i := first; i <= last; i++ {
		servers = append(servers, questionnaire.Server{Name: TargetName(i), IP: f.TargetIP(i), Port: TargetPort, Zone: Zone(i)})
	}
	return servers
}

// Accept proposes and accepts a configuration and returns its revision.
func (f *Fleet) Accept(answers *questionnaire.Answers, by string) (uint64, error) {
	proposal, err := questionnaire.Propose(answers)
	if err != nil {
		return 0, err
	}
	store := platform.NewClient(f.Platform, callTimeout)
	head, _, err := rollout.ReadHead(store)
	if err != nil {
		return 0, err
	}
	return rollout.Accept(store, rollout.Acceptance{
		Base:     head.Revision,
		Services: proposal.Services,
		By:       by,
		At:       time.Now().UTC(),
		ID:       uuid.NewString(),
	})
}
