package admin

import (
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
)

// handler answers one request. Its error is turned into an adminapi.Error.
type handler func(*call) (reply, error)

// action is what a path does for one method.
type action struct {
	handle handler
	// changes names the change in the audit log. It is empty for what changes
	// nothing.
	changes string
	// body is set if the request has one.
	body bool
	// admin is set for what only administrators may do.
	admin bool
}

// route is one path of the API.
type route struct {
	template string
	segments []string
	// actions are keyed by method.
	actions map[string]action
}

// routes are the paths of the API.
func (s *Server) routes() []*route {
	return []*route{
		newRoute(adminapi.PathTemplate, map[string]action{fasthttp.MethodGet: {handle: s.template}}),
		newRoute(adminapi.PathCheck, map[string]action{fasthttp.MethodPost: {handle: s.check, body: true}}),
		newRoute(adminapi.PathProposals, map[string]action{fasthttp.MethodPost: {handle: s.propose, body: true}}),
		newRoute(adminapi.PathAcceptances, map[string]action{fasthttp.MethodPost: {handle: s.accept, body: true, changes: "accept"}}),
		newRoute(adminapi.PathConfiguration, map[string]action{fasthttp.MethodGet: {handle: s.configuration}}),
		newRoute(adminapi.PathRevisions, map[string]action{fasthttp.MethodGet: {handle: s.revisions}}),
		newRoute(adminapi.PathServices, map[string]action{fasthttp.MethodGet: {handle: s.services}}),
		newRoute(adminapi.PathService, map[string]action{fasthttp.MethodGet: {handle: s.service}}),
		newRoute(adminapi.PathTargets, map[string]action{fasthttp.MethodGet: {handle: s.targets}}),
		newRoute(adminapi.PathQuarantine, map[string]action{fasthttp.MethodGet: {handle: s.suspects}}),
		newRoute(adminapi.PathSuspect, map[string]action{fasthttp.MethodDelete: {handle: s.lift, changes: "lift"}}),
		newRoute(adminapi.PathDump, map[string]action{fasthttp.MethodGet: {handle: s.dump, admin: true}}),
		newRoute(adminapi.PathTeams, map[string]action{fasthttp.MethodGet: {handle: s.teams, admin: true}}),
		newRoute(adminapi.PathTeam, map[string]action{
			fasthttp.MethodGet:    {handle: s.team, admin: true},
			fasthttp.MethodPut:    {handle: s.putTeam, admin: true, body: true, changes: "put_team"},
			fasthttp.MethodDelete: {handle: s.removeTeam, admin: true, changes: "remove_team"},
		}),
		newRoute(adminapi.PathTokens, map[string]action{fasthttp.MethodPost: {handle: s.makeToken, admin: true, changes: "make_token"}}),
		newRoute(adminapi.PathToken, map[string]action{fasthttp.MethodDelete: {handle: s.revokeToken, admin: true, changes: "revoke_token"}}),
	}
}

func newRoute(template string, actions map[string]action) *route {
	return &route{template: template, segments: strings.Split(template, "/"), actions: actions}
}

// match returns the values of the template's names, in order, if path fits it.
func (r *route) match(segments []string) ([]string, bool) {
	if len(segments) != len(r.segments) {
		return nil, false
	}
	var names []string
	for i, want := range r.segments {
		switch {
		case strings.HasPrefix(want, "{"):
			names = append(names, segments[i])
		case want != segments[i]:
			return nil, false
		}
	}
	return names, true
}

// methods returns the methods that the path takes, in order.
func (r *route) methods() []string { return slices.Sorted(maps.Keys(r.actions)) }

// find returns the route of a path and the values of its names. The error is a
// *MissingError.
func find(routes []*route, path string) (*route, []string, error) {
	segments := strings.Split(path, "/")
	for _, candidate := range routes {
		if names, ok := candidate.match(segments); ok {
			return candidate, names, nil
		}
	}
	return nil, nil, &MissingError{What: "path", Name: path}
}
