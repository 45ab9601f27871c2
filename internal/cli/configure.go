package cli

import (
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// acceptCommand accepts a proposal.
type acceptCommand struct {
	proposal string
	platform string
	by       string
}

func (c *acceptCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("accept")
	sub.Description = "accept a proposed configuration"
	sub.AdditionalHelpAppend = "\nPrints the new revision as JSON.\n" + examples(
		"accept --proposal proposal.json --platform 10.20.0.1:7000 --by ruth",
		"propose -a answers.json -p 10.20.0.1:7000 | poplarwheel accept --proposal - -p 10.20.0.1:7000",
	)
	sub.String(&c.proposal, "f", "proposal", "proposal file, - for standard input")
	sub.String(&c.platform, "p", "platform", "ip:port of the platform")
	sub.String(&c.by, "", "by", "operator's name (default: the user's)")
	return sub
}

func (c *acceptCommand) run(streams Streams) error {
	if err := requireFlags(requirement{"proposal", c.proposal}, requirement{"platform", c.platform}); err != nil {
		return err
	}
	data, err := readInput(streams, c.proposal)
	if err != nil {
		return err
	}
	proposal := &questionnaire.Proposal{}
	if err := strictjson.Unmarshal(data, proposal); err != nil {
		return &InputError{Path: c.proposal, Cause: err}
	}
	if err := checkPolicies(proposal.Services); err != nil {
		return &InputError{Path: c.proposal, Cause: err}
	}
	revision, err := rollout.Accept(platform.NewClient(c.platform, platformTimeout), rollout.Acceptance{
		Base:     proposal.Base,
		Services: proposal.Services,
		Removed:  proposal.Removed,
		By:       c.operator(),
		At:       time.Now().UTC(),
		ID:       uuid.NewString(),
	})
	if err != nil {
		return err
	}
	return writeJSON(streams, acceptReply{Revision: revision})
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

// acceptReply is the output of acceptCommand.
type acceptReply struct {
	Revision uint64 `json:"revision"`
}

func (c *acceptCommand) operator() string {
	if c.by != "" {
		return c.by
	}
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// statusCommand prints the accepted configuration's head.
type statusCommand struct{ platform string }

func (c *statusCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("status")
	sub.Description = "print the accepted revision and its services as JSON"
	sub.AdditionalHelpAppend = examples("status --platform 10.20.0.1:7000")
	sub.String(&c.platform, "p", "platform", "ip:port of the platform")
	return sub
}

func (c *statusCommand) run(streams Streams) error {
	if err := requireFlags(requirement{"platform", c.platform}); err != nil {
		return err
	}
	head, _, err := rollout.ReadHead(platform.NewClient(c.platform, platformTimeout))
	if err != nil {
		return err
	}
	return writeJSON(streams, head)
}
