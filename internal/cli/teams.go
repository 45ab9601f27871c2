package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/adminclient"
)

func teamsGroup() *group {
	return &group{
		name:        "teams",
		description: "manage teams and their tokens; for administrators",
		examples:    []string{"teams list --api 10.20.0.11:9091", "teams put --api 10.20.0.11:9091 --team swanbrook --services 20"},
		commands: []command{
			&teamsListCommand{}, &teamsPutCommand{}, &teamsRemoveCommand{}, &teamsTokenCommand{}, &teamsRevokeCommand{},
		},
	}
}

// teamFlags are the flags of a command that changes one team.
type teamFlags struct {
	api  apiFlags
	team string
}

func (f *teamFlags) attach(sub *flaggy.Subcommand) {
	f.api.attach(sub)
	f.api.attachBy(sub)
	sub.String(&f.team, "t", "team", "name of the team")
}

func (f *teamFlags) connect(streams Streams) (*adminclient.Client, error) {
	if err := requireFlags(requirement{"team", f.team}); err != nil {
		return nil, err
	}
	return f.api.connect(streams, "")
}

// teamsListCommand lists the teams.
type teamsListCommand struct {
	api    apiFlags
	output output
}

func (c *teamsListCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("list")
	sub.Description = "list the teams with their limits and token IDs"
	sub.AdditionalHelpAppend = examples("teams list --api 10.20.0.11:9091 --token-file admin.token", "teams list --api 10.20.0.11:9091 --json")
	c.api.attach(sub)
	c.output.textFlags(sub)
	return sub
}

func (c *teamsListCommand) run(streams Streams) error {
	client, err := c.api.connect(streams, "")
	if err != nil {
		return err
	}
	teams, err := client.Teams()
	if err != nil {
		return err
	}
	return c.output.print(streams, teams, func(w io.Writer) {
		row(w, "TEAM", "SERVICES", "TARGETS", "REQUESTS/MIN", "TOKENS")
		for _, team := range teams {
			writeTeam(w, team)
		}
	})
}

func writeTeam(w io.Writer, team adminapi.Team) {
	ids := make([]string, len(team.Tokens))
	for i, token := range team.Tokens {
		ids[i] = token.ID
	}
	limits := team.Limits
	row(w, team.Name, limitText(limits.Services), limitText(limits.Targets), limitText(limits.RequestsPerMinute), strings.Join(ids, ","))
}

func limitText(limit int) string {
	if limit == 0 {
		return "default"
	}
	return fmt.Sprint(limit)
}

// unchanged is the value of a limit's flag that isn't given.
const unchanged = -1

// teamsPutCommand makes a team or changes its limits.
type teamsPutCommand struct {
	teamFlags
	limits adminapi.Limits
	output output
}

func (c *teamsPutCommand) subcommand() *flaggy.Subcommand {
	c.limits = adminapi.Limits{Services: unchanged, Targets: unchanged, RequestsPerMinute: unchanged}
	sub := flaggy.NewSubcommand("put")
	sub.Description = "make a team, or change its limits"
	sub.AdditionalHelpAppend = "\nA limit that isn't given stays as it is; 0 means the default.\n" + examples(
		"teams put --api 10.20.0.11:9091 --token-file admin.token --team swanbrook",
		"teams put --api 10.20.0.11:9091 --team swanbrook --services 20 --targets 200",
	)
	c.attach(sub)
	sub.Int(&c.limits.Services, "", "services", "most services")
	sub.Int(&c.limits.Targets, "", "targets", "most targets over all services")
	sub.Int(&c.limits.RequestsPerMinute, "", "requests-per-minute", "most API requests a minute at one daemon")
	c.output.textFlags(sub)
	return sub
}

func (c *teamsPutCommand) run(streams Streams) error {
	client, err := c.connect(streams)
	if err != nil {
		return err
	}
	team, etag, err := client.Team(c.team)
	var refused *adminapi.Error
	if errors.As(err, &refused) && refused.Code == adminapi.CodeNotFound {
		team, etag, err = &adminapi.Team{}, "", nil
	}
	if err != nil {
		return err
	}
	team, err = client.PutTeam(c.team, c.merge(team.Limits), etag)
	if err != nil {
		return err
	}
	return c.output.print(streams, team, func(w io.Writer) { writeTeam(w, *team) })
}

// merge returns the present limits with those that were given.
func (c *teamsPutCommand) merge(limits adminapi.Limits) adminapi.Limits {
	set := func(limit *int, given int) {
		if given != unchanged {
			*limit = given
		}
	}
	set(&limits.Services, c.limits.Services)
	set(&limits.Targets, c.limits.Targets)
	set(&limits.RequestsPerMinute, c.limits.RequestsPerMinute)
	return limits
}

// teamsRemoveCommand removes a team.
type teamsRemoveCommand struct {
	teamFlags
	output output
}

// doneReply is the JSON output of a change without another result.
type doneReply struct {
	Team    string `json:"team"`
	Token   string `json:"token,omitempty"`
	Removed bool   `json:"removed"`
}

func (c *teamsRemoveCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("remove")
	sub.Description = "remove a team that has no services"
	sub.AdditionalHelpAppend = examples("teams remove --api 10.20.0.11:9091 --token-file admin.token --team swanbrook")
	c.attach(sub)
	c.output.textFlags(sub)
	return sub
}

func (c *teamsRemoveCommand) run(streams Streams) error {
	client, err := c.connect(streams)
	if err != nil {
		return err
	}
	_, etag, err := client.Team(c.team)
	if err != nil {
		return err
	}
	if err := client.RemoveTeam(c.team, etag); err != nil {
		return err
	}
	return c.output.print(streams, doneReply{Team: c.team, Removed: true}, func(w io.Writer) { row(w, "removed", c.team) })
}

// teamsTokenCommand makes a token.
type teamsTokenCommand struct {
	teamFlags
	out    string
	output output
}

func (c *teamsTokenCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("token")
	sub.Description = "make a token of a team; it is shown this once"
	sub.AdditionalHelpAppend = examples(
		"teams token --api 10.20.0.11:9091 --token-file admin.token --team swanbrook --out swanbrook.token",
		"teams token --api 10.20.0.11:9091 --token-file admin.token --team swanbrook --json",
	)
	c.attach(sub)
	sub.String(&c.out, "o", "out", "new file that takes the token instead of the output")
	c.output.textFlags(sub)
	return sub
}

// tokenMode is the mode of a new token file.
const tokenMode = 0o600

func (c *teamsTokenCommand) run(streams Streams) error {
	client, err := c.connect(streams)
	if err != nil {
		return err
	}
	if c.out == "" {
		token, err := client.NewToken(c.team)
		if err != nil {
			return err
		}
		return c.print(streams, token)
	}
	return c.runToFile(streams, client)
}

// runToFile opens the file first: a token that can't be kept is of no use.
func (c *teamsTokenCommand) runToFile(streams Streams, client *adminclient.Client) error {
	file, err := os.OpenFile(c.out, os.O_CREATE|os.O_EXCL|os.O_WRONLY, tokenMode)
	if err != nil {
		return &InputError{Path: c.out, Cause: err}
	}
	token, err := client.NewToken(c.team)
	if err != nil {
		_ = file.Close()
		_ = os.Remove(c.out)
		return err
	}
	_, err = fmt.Fprintln(file, token.Token)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	return c.print(streams, &adminapi.NewToken{ID: token.ID})
}

func (c *teamsTokenCommand) print(streams Streams, token *adminapi.NewToken) error {
	return c.output.print(streams, token, func(w io.Writer) {
		row(w, "id", token.ID)
		if token.Token != "" {
			row(w, "token", token.Token)
		}
	})
}

// teamsRevokeCommand revokes a token.
type teamsRevokeCommand struct {
	teamFlags
	id     string
	output output
}

func (c *teamsRevokeCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("revoke")
	sub.Description = "revoke a token of a team"
	sub.AdditionalHelpAppend = examples("teams revoke --api 10.20.0.11:9091 --token-file admin.token --team swanbrook --id 3f1c")
	c.attach(sub)
	sub.String(&c.id, "", "id", "ID of the token, as teams list prints it")
	c.output.textFlags(sub)
	return sub
}

func (c *teamsRevokeCommand) run(streams Streams) error {
	if err := requireFlags(requirement{"id", c.id}); err != nil {
		return err
	}
	client, err := c.connect(streams)
	if err != nil {
		return err
	}
	if err := client.RevokeToken(c.team, c.id); err != nil {
		return err
	}
	return c.output.print(streams, doneReply{Team: c.team, Token: c.id, Removed: true}, func(w io.Writer) { row(w, "revoked", c.id) })
}
