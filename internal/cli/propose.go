package cli

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

// platformTimeout bounds a command's call to the platform.
const platformTimeout = 5 * time.Second

// proposeCommand turns answers into a proposal.
type proposeCommand struct {
	answers string
	source  sourceFlags
	explain bool
	json    bool
}

func (c *proposeCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("propose")
	sub.Description = "derive a proposed configuration from a filled-in questionnaire"
	sub.AdditionalHelpAppend = "\nPrints the proposal as JSON, which accept reads.\n" + examples(
		"propose --answers answers.json --api 10.20.0.11:9091 --token-file token --explain",
		"propose --answers answers.json --api 10.20.0.11:9091 > proposal.json",
		"propose --answers answers.json --platform 10.20.0.1:7000 > proposal.json",
	)
	sub.String(&c.answers, "a", "answers", "answers file, - for standard input")
	c.source.attach(sub)
	sub.Bool(&c.explain, "", "explain", "print the reason for each value and the changes for people to read")
	sub.Bool(&c.json, "", "json", "print JSON, as without the flag")
	return sub
}

func (c *proposeCommand) run(streams Streams) error {
	if err := c.check(); err != nil {
		return err
	}
	answers, err := readAnswers(streams, c.answers)
	if err != nil {
		return err
	}
	proposal, err := c.propose(streams, answers)
	if err != nil {
		return err
	}
	if c.explain {
		return writeProposal(streams.Out, proposal)
	}
	return writeJSON(streams, proposal)
}

func (c *proposeCommand) check() error {
	if err := requireFlags(requirement{"answers", c.answers}); err != nil {
		return err
	}
	if c.explain && c.json {
		return &ExclusiveFlagsError{Flags: []string{"explain", "json"}}
	}
	return c.source.check()
}

func (c *proposeCommand) propose(streams Streams, answers *questionnaire.Answers) (*questionnaire.Proposal, error) {
	if c.source.usesPlatform() {
		return c.proposeFromPlatform(answers)
	}
	client, err := c.source.api.connect(streams, c.answers)
	if err != nil {
		return nil, err
	}
	return client.Propose(answers)
}

func (c *proposeCommand) proposeFromPlatform(answers *questionnaire.Answers) (*questionnaire.Proposal, error) {
	proposal, err := questionnaire.Propose(answers)
	if err != nil {
		return nil, &InputError{Path: c.answers, Cause: err}
	}
	inForce, err := rollout.Read(platform.NewClient(c.source.platform, platformTimeout))
	if err != nil {
		return nil, err
	}
	if err := proposal.Compare(answers.Team, inForce.Snapshot()); err != nil {
		return nil, &InputError{Path: c.answers, Cause: err}
	}
	return proposal, nil
}

// writeProposal writes a proposal for people.
func writeProposal(w io.Writer, proposal *questionnaire.Proposal) error {
	var text strings.Builder
	fmt.Fprintf(&text, "reasons:\n")
	for _, reason := range proposal.Reasons {
		fmt.Fprintf(&text, "  %s = %s: %s\n", reason.Path, reason.Value, reason.Because)
	}
	fmt.Fprintf(&text, "changes from revision %d:\n", proposal.Base)
	for _, change := range proposal.Changes {
		text.WriteString("  " + describe(change) + "\n")
	}
	if len(proposal.Changes) == 0 {
		text.WriteString("  none\n")
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func describe(change questionnaire.Change) string {
	switch {
	case change.From == "":
		return fmt.Sprintf("%s: new, %s", change.Path, change.To)
	case change.To == "":
		return fmt.Sprintf("%s: removed, was %s", change.Path, change.From)
	}
	return fmt.Sprintf("%s: %s, was %s", change.Path, change.To, change.From)
}
