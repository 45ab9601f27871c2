package fleet

import (
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
	return rollout.AcceptOnLatest(platform.NewClient(f.Platform, callTimeout), proposal.Services, by)
}
