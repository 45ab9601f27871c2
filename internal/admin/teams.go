package admin

import (
	"regexp"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// teamName is what a team may be called.
var teamName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,62}[A-Za-z0-9])?$`)

// teams answers adminapi.PathTeams.
func (s *Server) teams(c *call) (reply, error) {
	w, err := c.window()
	if err != nil {
		return reply{}, err
	}
	current, err := s.directory.current()
	if err != nil {
		return reply{}, err
	}
	var shown []adminapi.Team
	for i := range current.Teams {
		shown = append(shown, current.Teams[i].shown())
	}
	page := adminapi.TeamPage{}
	page.Teams, page.Next = pageOf(shown, func(t adminapi.Team) string { return t.Name }, w)
	return reply{body: page}, nil
}

// team answers GET of adminapi.PathTeam.
func (s *Server) team(c *call) (reply, error) {
	current, err := s.directory.current()
	if err != nil {
		return reply{}, err
	}
	return teamReply(current, c.names[0], fasthttp.StatusOK)
}

// teamReply shows one team.
func teamReply(current *document, name string, status int) (reply, error) {
	found := current.team(name)
	if found == nil {
		return reply{}, &MissingError{What: "team", Name: name}
	}
	return reply{status: status, etag: etag(found.Version), body: found.shown()}, nil
}

// putTeam answers PUT of adminapi.PathTeam.
func (s *Server) putTeam(c *call) (reply, error) {
	name := c.names[0]
	c.note("target", name)
	if !teamName.MatchString(name) || name == administrator {
		return reply{}, strictjson.Invalid("team", "must have 1 to 64 letters, digits, dots, hyphens and underscores, with a letter or digit at both ends, and not be %q", administrator)
	}
	version, err := c.teamVersion()
	if err != nil {
		return reply{}, err
	}
	var limits adminapi.Limits
	if err := c.decode(&limits); err != nil {
		return reply{}, err
	}
	changed, err := s.directory.change(edit{
		apply: func(d *document) (*document, error) { return d.put(name, limits, version) },
		done: func(d *document) bool {
			found := d.team(name)
			return found != nil && found.Limits == limits && found.Version > version
		},
	})
	if err != nil {
		return reply{}, err
	}
	if version == 0 {
		return teamReply(changed, name, fasthttp.StatusCreated)
	}
	return teamReply(changed, name, fasthttp.StatusOK)
}

// teamVersion returns the version of the team that a change is based on, or 0 for a
// new team. Errors are *ConditionError and *strictjson.InvalidError.
func (c *call) teamVersion() (uint64, error) {
	if c.header(adminapi.HeaderIfNoneMatch) == "*" {
		return 0, nil
	}
	version, err := c.ifMatch()
	if err == nil && version == 0 {
		err = strictjson.Invalid(adminapi.HeaderIfMatch, "must be the team's ETag")
	}
	return version, err
}

// removeTeam answers DELETE of adminapi.PathTeam.
func (s *Server) removeTeam(c *call) (reply, error) {
	name := c.names[0]
	c.note("target", name)
	var version uint64
	if c.header(adminapi.HeaderIfMatch) != "" {
		given, err := c.teamVersion()
		if err != nil {
			return reply{}, err
		}
		version = given
	}
	latest, err := s.accepted.fresh()
	if err != nil {
		return reply{}, err
	}
	if u := usageOf(name, latest.Snapshot()); u.services > 0 {
		return reply{}, &HasServicesError{Team: name, Services: u.services}
	}
	_, err = s.directory.change(edit{
		apply: func(d *document) (*document, error) { return d.remove(name, version) },
		done:  func(d *document) bool { return d.team(name) == nil },
	})
	return reply{}, err
}

// makeToken answers adminapi.PathTokens.
func (s *Server) makeToken(c *call) (reply, error) {
	name := c.names[0]
	c.note("target", name)
	secret, id := newToken()
	token := storedToken{ID: id, Hash: hashToken(secret), CreatedBy: c.by(), CreatedAt: s.options.Now().UTC()}
	_, err := s.directory.change(edit{
		apply: func(d *document) (*document, error) { return d.addToken(name, token) },
		done:  func(d *document) bool { return d.team(name).token(id) },
	})
	if err != nil {
		return reply{}, err
	}
	c.note("target_token", id)
	return reply{status: fasthttp.StatusCreated, body: adminapi.NewToken{ID: id, Token: secret}}, nil
}

// revokeToken answers adminapi.PathToken.
func (s *Server) revokeToken(c *call) (reply, error) {
	name, id := c.names[0], c.names[1]
	c.note("target", name)
	c.note("target_token", id)
	_, err := s.directory.change(edit{
		apply: func(d *document) (*document, error) { return d.revoke(name, id) },
		done:  func(d *document) bool { return !d.team(name).token(id) },
	})
	return reply{}, err
}
