package admin

import (
	"strings"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
)

// authenticate finds out who sent the request. Errors are *UnauthenticatedError
// and, while no copy of the teams could be read, those of directory.current.
func (s *Server) authenticate(c *call) error {
	token, ok := strings.CutPrefix(c.header(adminapi.HeaderAuthorization), adminapi.BearerPrefix)
	if !ok || token == "" {
		return &UnauthenticatedError{Reason: "send a token: Authorization: Bearer TOKEN"}
	}
	if s.options.AdminTokenSHA256 != "" && hashMatches(token, s.options.AdminTokenSHA256) {
		c.who = &identity{Admin: true}
		return nil
	}
	if _, ok := tokenID(token); !ok {
		return &UnauthenticatedError{Reason: "the token is not known"}
	}
	teams, err := s.directory.current()
	if err != nil {
		return err
	}
	s.limiter.prune(len(teams.Teams), func(name string) bool { return teams.team(name) != nil })
	team, id := teams.authenticate(token)
	if team == nil {
		return &UnauthenticatedError{Reason: "the token is not known"}
	}
	c.who = &identity{Team: team.Name, TokenID: id, Limits: team.Limits}
	return nil
}
