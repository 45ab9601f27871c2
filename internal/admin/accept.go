package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// accept answers adminapi.PathAcceptances.
func (s *Server) accept(c *call) (reply, error) {
	base, err := c.ifMatch()
	if err != nil {
		return reply{}, err
	}
	proposal, err := c.proposal(base)
	if err != nil {
		return reply{}, err
	}
	acceptance := rollout.Acceptance{
		Base:     base,
		Services: proposal.Services,
		Removed:  proposal.Removed,
		By:       c.by(),
		At:       s.options.Now().UTC().Truncate(time.Millisecond),
		ID:       c.acceptID(proposal),
	}
	c.note("base", base)
	c.note("services", len(proposal.Services))
	c.note("removed", len(proposal.Removed))
	c.note("accept_id", acceptance.ID)
	revision, err := s.acceptPermitted(c, acceptance)
	if err != nil {
		return reply{}, err
	}
	c.note("revision", revision)
	return reply{status: fasthttp.StatusCreated, etag: etag(revision), body: adminapi.AcceptReply{Revision: revision}}, nil
}

// proposal decodes the body. The error is a *strictjson.InvalidError.
func (c *call) proposal(base uint64) (*questionnaire.Proposal, error) {
	proposal := &questionnaire.Proposal{}
	if err := c.decode(proposal); err != nil {
		return nil, err
	}
	if proposal.Base != base {
		return nil, strictjson.Invalid("base", "is %d, but If-Match names revision %d", proposal.Base, base)
	}
	invalid := &strictjson.InvalidError{}
	for i, service := range proposal.Services {
		invalid.Fields = append(invalid.Fields, problemsOf(service, fmt.Sprintf("services[%d]", i))...)
	}
	if len(invalid.Fields) > 0 {
		return nil, invalid
	}
	return proposal, nil
}

// problemsOf returns the problems of a service, with the path of each.
func problemsOf(service *config.Service, path string) []*strictjson.FieldError {
	if service == nil {
		return strictjson.Invalid(path, "must be given").Fields
	}
	var invalid *strictjson.InvalidError
	if !errors.As(service.Check(), &invalid) {
		return nil
	}
	for _, field := range invalid.Fields {
		field.Path = path + "." + field.Path
	}
	return invalid.Fields
}

// acceptID identifies the acceptance over resends: the same team sends the same
// change with the same request ID.
func (c *call) acceptID(proposal *questionnaire.Proposal) string {
	owner := c.who.Team
	if c.who.Admin {
		owner = administrator
	}
	encoded, _ := json.Marshal(questionnaire.Proposal{Base: proposal.Base, Services: proposal.Services, Removed: proposal.Removed})
	return owner + "/" + c.requestID + "/" + config.Hash(encoded)
}

// acceptPermitted accepts a change if the identity may make it. What it may do is
// decided against the revision that the change is based on; rollout.Accept refuses
// the change if that isn't the newest when it takes effect.
func (s *Server) acceptPermitted(c *call, acceptance rollout.Acceptance) (uint64, error) {
	latest, err := s.accepted.fresh()
	if err != nil {
		return 0, err
	}
	if revision, ok := latest.Head.Accepted(acceptance.ID); ok {
		c.note("resent", true)
		return revision, nil
	}
	if latest.Head.Revision != acceptance.Base {
		return 0, c.stale(latest.Head.Stale(acceptance.Base), latest.Snapshot(), acceptance)
	}
	base := latest.Snapshot()
	if err := c.who.permit(base, change{services: acceptance.Services, removed: acceptance.Removed}); err != nil {
		return 0, err
	}
	revision, err := rollout.Accept(s.options.Store, acceptance)
	s.accepted.expire()
	var stale *rollout.StaleError
	if errors.As(err, &stale) {
		return 0, c.stale(stale, base, acceptance)
	}
	return revision, err
}

// stale returns the failure of a change that came too late. Services of other teams
// that the change doesn't touch are left out.
func (c *call) stale(stale *rollout.StaleError, known *config.Snapshot, acceptance rollout.Acceptance) *adminapi.Error {
	touched := map[string]bool{}
	for _, name := range acceptance.Removed {
		touched[name] = true
	}
	for _, service := range acceptance.Services {
		touched[service.Name] = true
	}
	failure := failed(fasthttp.StatusPreconditionFailed, adminapi.CodeStale,
		fmt.Sprintf("the change is based on revision %d, revision %d is in force; propose again", stale.Base, stale.Current))
	failure.Current = stale.Current
	for _, change := range stale.Changes {
		service := known.Services[change.Service]
		if c.who.Admin || touched[change.Service] || service != nil && c.who.owns(service.Team) {
			failure.Changes = append(failure.Changes, adminapi.ChangedService{
				Service: change.Service, Revision: change.Revision, By: change.By, Removed: change.Removed,
			})
		}
	}
	return failure
}
