package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// platformTimeout bounds a command's call to the platform.
const platformTimeout = 5 * time.Second

// proposeCommand turns answers into a proposal.
type proposeCommand struct {
	answers  string
	platform string
}

func (c *proposeCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("propose")
	sub.Description = "derive a proposed configuration from a filled-in questionnaire"
	sub.String(&c.answers, "a", "answers", "answers file, - for standard input")
	sub.String(&c.platform, "p", "platform", "ip:port of the platform")
	return sub
}

func (c *proposeCommand) run(streams Streams) error {
	data, err := readInput(streams, c.answers)
	if err != nil {
		return err
	}
	answers, err := questionnaire.Parse(data)
	if err != nil {
		return &UsageError{Cause: fmt.Errorf("%s: %w", c.answers, err)}
	}
	proposal, err := questionnaire.Propose(answers)
	if err != nil {
		return &UsageError{Cause: err}
	}
	head, _, err := rollout.ReadHead(platform.NewClient(c.platform, platformTimeout))
	if err != nil {
		return err
	}
	proposal.Base = head.Revision
	return writeJSON(streams, proposal)
}

// acceptCommand accepts a proposal.
type acceptCommand struct {
	proposal string
	platform string
	by       string
}

func (c *acceptCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("accept")
	sub.Description = "accept a proposed configuration"
	sub.String(&c.proposal, "f", "proposal", "proposal file, - for standard input")
	sub.String(&c.platform, "p", "platform", "ip:port of the platform")
	sub.String(&c.by, "", "by", "operator's name (default: the user's)")
	return sub
}

func (c *acceptCommand) run(streams Streams) error {
	data, err := readInput(streams, c.proposal)
	if err != nil {
		return err
	}
	proposal := &questionnaire.Proposal{}
	if err := strictjson.Unmarshal(data, proposal); err != nil {
		return &UsageError{Cause: fmt.Errorf("%s: %w", c.proposal, err)}
	}
	revision, err := rollout.Accept(platform.NewClient(c.platform, platformTimeout), rollout.Acceptance{
		Base:     proposal.Base,
		Services: proposal.Services,
		By:       c.operator(),
		At:       time.Now().UTC(),
		ID:       uuid.NewString(),
	})
	if err != nil {
		return err
	}
	return writeJSON(streams, acceptReply{Revision: revision})
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

func isConflict(err error) bool {
	var stale *rollout.StaleError
	return errors.As(err, &stale)
}

// statusCommand prints the accepted configuration's head.
type statusCommand struct{ platform string }

func (c *statusCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("status")
	sub.Description = "print the accepted revision and its services"
	sub.String(&c.platform, "p", "platform", "ip:port of the platform")
	return sub
}

func (c *statusCommand) run(streams Streams) error {
	head, _, err := rollout.ReadHead(platform.NewClient(c.platform, platformTimeout))
	if err != nil {
		return err
	}
	return writeJSON(streams, head)
}

// decodeAnswer returns a JSON body as it is, and any other as a JSON string.
func decodeAnswer(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}
