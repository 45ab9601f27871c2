package admin

import (
	"fmt"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
)

// template answers adminapi.PathTemplate.
func (s *Server) template(*call) (reply, error) { return reply{text: questionnaire.Template()}, nil }

// answers decodes the answers of the questionnaire in the body. Errors are
// *strictjson.InvalidError and *ForbiddenError.
func (c *call) answers() (*questionnaire.Answers, error) {
	answers, err := questionnaire.Parse(c.body)
	if err != nil {
		return nil, err
	}
	if !c.who.owns(answers.Team) {
		return nil, &ForbiddenError{Reason: fmt.Sprintf("the answers are of team %q; the token is of team %q", answers.Team, c.who.Team)}
	}
	return answers, nil
}

// check answers adminapi.PathCheck.
func (s *Server) check(c *call) (reply, error) {
	answers, err := c.answers()
	if err != nil {
		return reply{}, err
	}
	if _, err := questionnaire.Propose(answers); err != nil {
		return reply{}, err
	}
	checked := adminapi.CheckReply{Team: answers.Team, Services: len(answers.Services)}
	for _, service := range answers.Services {
		checked.RequestTypes += len(service.Requests)
		checked.Targets += len(service.Servers)
	}
	return reply{body: checked}, nil
}

// propose answers adminapi.PathProposals. In an outage of the platform, the proposal
// is against the newest configuration known.
func (s *Server) propose(c *call) (reply, error) {
	answers, err := c.answers()
	if err != nil {
		return reply{}, err
	}
	proposal, err := questionnaire.Propose(answers)
	if err != nil {
		return reply{}, err
	}
	latest, err := s.accepted.latest()
	if err != nil {
		return reply{}, err
	}
	base := latest.Snapshot()
	if err := c.who.checkOwners(base, change{services: proposal.Services}); err != nil {
		return reply{}, err
	}
	if err := proposal.Compare(answers.Team, base); err != nil {
		return reply{}, err
	}
	if err := c.who.checkLimits(base, change{services: proposal.Services, removed: proposal.Removed}); err != nil {
		return reply{}, err
	}
	return reply{etag: etag(proposal.Base), body: proposal}, nil
}
