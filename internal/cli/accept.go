package cli

import (
	"errors"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/adminclient"
	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// acceptCommand accepts a proposal.
type acceptCommand struct {
	proposal  string
	source    sourceFlags
	requestID string
	output    output
}

func (c *acceptCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("accept")
	sub.Description = "accept a proposed configuration"
	sub.AdditionalHelpAppend = "\nPrints the new revision. After exit code 4, accept again with the request ID that\nthe error names: it takes effect once at most.\n" + examples(
		"accept --proposal proposal.json --api 10.20.0.11:9091,10.20.0.12:9091 --token-file token --by ruth",
		"propose -a answers.json --api 10.20.0.11:9091 | poplarwheel accept -f - --api 10.20.0.11:9091",
		"accept --proposal proposal.json --platform 10.20.0.1:7000",
	)
	sub.String(&c.proposal, "f", "proposal", "proposal file, - for standard input")
	c.source.attach(sub)
	c.source.api.attachBy(sub)
	sub.String(&c.requestID, "", "request-id", "UUID of an earlier try of this acceptance (default: a new one)")
	c.output.jsonFlags(sub)
	return sub
}

func (c *acceptCommand) run(streams Streams) error {
	if err := c.check(); err != nil {
		return err
	}
	proposal, err := c.read(streams)
	if err != nil {
		return err
	}
	revision, err := c.accept(streams, proposal)
	if err != nil {
		return err
	}
	return c.output.print(streams, adminapi.AcceptReply{Revision: revision}, func(w io.Writer) {
		row(w, "revision", revision)
	})
}

func (c *acceptCommand) check() error {
	if err := requireFlags(requirement{"proposal", c.proposal}); err != nil {
		return err
	}
	if err := c.source.check(); err != nil {
		return err
	}
	if _, err := uuid.Parse(c.requestID); c.requestID != "" && err != nil {
		return &BadFlagError{Flag: "request-id", Want: "a UUID"}
	}
	return c.output.check()
}

// read returns the proposal. The error is an *InputError.
func (c *acceptCommand) read(streams Streams) (*questionnaire.Proposal, error) {
	data, err := readInput(streams, c.proposal)
	if err != nil {
		return nil, err
	}
	proposal := &questionnaire.Proposal{}
	if err := strictjson.Unmarshal(data, proposal); err != nil {
		return nil, &InputError{Path: c.proposal, Cause: err}
	}
	if err := checkPolicies(proposal.Services); err != nil {
		return nil, &InputError{Path: c.proposal, Cause: err}
	}
	return proposal, nil
}

// checkPolicies refuses policies that this version doesn't have. The error is a
// *balancer.UnknownPolicyError.
func checkPolicies(services []*config.Service) error {
	for _, service := range services {
		if _, err := balancer.New(service.Policy); err != nil {
			return err
		}
	}
	return nil
}

func (c *acceptCommand) accept(streams Streams, proposal *questionnaire.Proposal) (uint64, error) {
	if c.requestID == "" {
		c.requestID = uuid.NewString()
	}
	if c.source.usesPlatform() {
		return c.acceptOnPlatform(proposal)
	}
	client, err := c.source.api.connect(streams, c.proposal)
	if err != nil {
		return 0, err
	}
	return client.Accept(proposal, c.requestID)
}

func (c *acceptCommand) acceptOnPlatform(proposal *questionnaire.Proposal) (uint64, error) {
	revision, err := rollout.Accept(platform.NewClient(c.source.platform, platformTimeout), rollout.Acceptance{
		Base:     proposal.Base,
		Services: proposal.Services,
		Removed:  proposal.Removed,
		By:       c.source.api.operator(),
		At:       time.Now().UTC(),
		ID:       c.requestID,
	})
	var unsure *rollout.UnsureError
	if errors.As(err, &unsure) {
		err = &adminclient.UnsureError{RequestID: c.requestID, Cause: unsure.Cause}
	}
	return revision, err
}
