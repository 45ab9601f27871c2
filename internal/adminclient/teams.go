package adminclient

import (
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
)

// Teams returns all teams.
func (c *Client) Teams() ([]adminapi.Team, error) {
	return collect(c, adminapi.PathTeams, nil, func(page *adminapi.TeamPage) ([]adminapi.Team, string) {
		return page.Teams, page.Next
	})
}

// Team returns one team and its ETag.
func (c *Client) Team(name string) (*adminapi.Team, string, error) {
	path, err := pathOf(adminapi.PathTeam, name)
	if err != nil {
		return nil, "", err
	}
	return get[adminapi.Team](c, path, nil)
}

// PutTeam makes a team with the given limits, or replaces the limits of the team that
// has the given ETag. It returns the team.
func (c *Client) PutTeam(name string, limits adminapi.Limits, etag string) (*adminapi.Team, error) {
	path, err := pathOf(adminapi.PathTeam, name)
	if err != nil {
		return nil, err
	}
	put := &request{method: fasthttp.MethodPut, path: path, body: limits, ifMatch: etag}
	if etag == "" {
		put.ifNoneMatch = anyETag
	}
	team := &adminapi.Team{}
	return team, c.change(put, team)
}

// RemoveTeam removes the team that has the given ETag.
func (c *Client) RemoveTeam(name, etag string) error {
	path, err := pathOf(adminapi.PathTeam, name)
	if err != nil {
		return err
	}
	return c.change(&request{method: fasthttp.MethodDelete, path: path, ifMatch: etag}, nil)
}

// NewToken makes a token of a team.
func (c *Client) NewToken(team string) (*adminapi.NewToken, error) {
	path, err := pathOf(adminapi.PathTokens, team)
	if err != nil {
		return nil, err
	}
	token := &adminapi.NewToken{}
	return token, c.change(&request{method: fasthttp.MethodPost, path: path}, token)
}

// RevokeToken revokes a token of a team.
func (c *Client) RevokeToken(team, id string) error {
	path, err := pathOf(adminapi.PathToken, team, id)
	if err != nil {
		return err
	}
	return c.change(&request{method: fasthttp.MethodDelete, path: path}, nil)
}
