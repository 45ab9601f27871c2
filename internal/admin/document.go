package admin

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// Defaults of adminapi.Limits.
const (
	defaultServices          = 50
	defaultTargets           = 1000
	defaultRequestsPerMinute = 300
)

// Bounds of the teams document, which has to stay below platform.MaxValueBytes.
const (
	maxTeams         = 1000
	maxTokensPerTeam = 8
)

// document is the platform object that holds the teams. Its methods that change it
// return a changed copy.
type document struct {
	// Changes counts the changes of the document.
	Changes uint64 `json:"changes"`
	// Teams are ordered by name.
	Teams []team `json:"teams"`
}

// team is one team of the document.
type team struct {
	Name string `json:"name"`
	// Version is the value of document.Changes at the team's last change. No two
	// states of a team share it, also if the team was removed in between.
	Version uint64          `json:"version"`
	Limits  adminapi.Limits `json:"limits"`
	Tokens  []storedToken   `json:"tokens,omitempty"`
}

// storedToken is a token without its secret part.
type storedToken struct {
	ID        string    `json:"id"`
	Hash      string    `json:"hash"`
	CreatedBy string    `json:"created_by"`
	CreatedAt time.Time `json:"created_at"`
}

// parseDocument decodes the platform object. The error is a *CorruptError.
func parseDocument(value []byte) (*document, error) {
	d := &document{}
	if err := json.Unmarshal(value, d); err != nil {
		return nil, &CorruptError{Key: TeamsKey, Cause: err}
	}
	return d, nil
}

// encode returns the platform object. The error is a *platform.TooLargeError.
func (d *document) encode() ([]byte, error) {
	value, err := json.Marshal(d)
	if err != nil {
		return nil, &CorruptError{Key: TeamsKey, Cause: err}
	}
	if len(value) > platform.MaxValueBytes {
		return nil, &platform.TooLargeError{Key: TeamsKey, Size: len(value)}
	}
	return value, nil
}

// find returns the position of a team, and whether it exists.
func (d *document) find(name string) (int, bool) {
	return slices.BinarySearchFunc(d.Teams, name, func(t team, name string) int { return strings.Compare(t.Name, name) })
}

// team returns a team, or nil.
func (d *document) team(name string) *team {
	if i, ok := d.find(name); ok {
		return &d.Teams[i]
	}
	return nil
}

// authenticate returns the team of a token, or nil.
func (d *document) authenticate(secret string) (*team, string) {
	id, ok := tokenID(secret)
	if !ok {
		return nil, ""
	}
	for i := range d.Teams {
		for _, token := range d.Teams[i].Tokens {
			if token.ID == id && hashMatches(secret, token.Hash) {
				return &d.Teams[i], id
			}
		}
	}
	return nil, ""
}

// changed returns a copy that a change may be made to.
func (d *document) changed() *document {
	return &document{Changes: d.Changes + 1, Teams: slices.Clone(d.Teams)}
}

// put returns a document in which a team has the given limits. Version must be the
// team's, or 0 for a team that must not exist. Errors are *MissingError,
// *ExistsError, *VersionError and *FullError.
func (d *document) put(name string, limits adminapi.Limits, version uint64) (*document, error) {
	i, exists := d.find(name)
	if err := d.checkVersion(name, version); err != nil {
		return nil, err
	}
	if !exists && len(d.Teams) >= maxTeams {
		return nil, &FullError{What: "teams", Limit: maxTeams}
	}
	next := d.changed()
	if !exists {
		next.Teams = slices.Insert(next.Teams, i, team{Name: name})
	}
	next.Teams[i].Limits = limits
	next.Teams[i].Version = next.Changes
	return next, nil
}

func (d *document) checkVersion(name string, version uint64) error {
	current := d.team(name)
	switch {
	case version == 0 && current != nil:
		return &ExistsError{Team: name}
	case version > 0 && current == nil:
		return &MissingError{What: "team", Name: name}
	case version > 0 && current.Version != version:
		return &VersionError{Team: name}
	}
	return nil
}

// remove returns a document without a team. Version 0 stands for any. Errors are
// *MissingError and *VersionError.
func (d *document) remove(name string, version uint64) (*document, error) {
	i, exists := d.find(name)
	if !exists {
		return nil, &MissingError{What: "team", Name: name}
	}
	if version > 0 && d.Teams[i].Version != version {
		return nil, &VersionError{Team: name}
	}
	next := d.changed()
	next.Teams = slices.Delete(next.Teams, i, i+1)
	return next, nil
}

// addToken returns a document in which a team has one more token. Errors are
// *MissingError and *FullError.
func (d *document) addToken(name string, token storedToken) (*document, error) {
	i, exists := d.find(name)
	if !exists {
		return nil, &MissingError{What: "team", Name: name}
	}
	if len(d.Teams[i].Tokens) >= maxTokensPerTeam {
		return nil, &FullError{What: "tokens", Limit: maxTokensPerTeam}
	}
	next := d.changed()
	next.Teams[i].Tokens = append(slices.Clone(next.Teams[i].Tokens), token)
	next.Teams[i].Version = next.Changes
	return next, nil
}

// revoke returns a document in which a team doesn't have a token. The error is a
// *MissingError.
func (d *document) revoke(name, id string) (*document, error) {
	i, exists := d.find(name)
	if !exists {
		return nil, &MissingError{What: "team", Name: name}
	}
	at := slices.IndexFunc(d.Teams[i].Tokens, func(t storedToken) bool { return t.ID == id })
	if at < 0 {
		return nil, &MissingError{What: "token", Name: id}
	}
	next := d.changed()
	next.Teams[i].Tokens = slices.Delete(slices.Clone(next.Teams[i].Tokens), at, at+1)
	next.Teams[i].Version = next.Changes
	return next, nil
}

// token reports whether the team has a token. It has none if it is nil.
func (t *team) token(id string) bool {
	return t != nil && slices.ContainsFunc(t.Tokens, func(token storedToken) bool { return token.ID == id })
}

// shown returns the team as the API shows it.
func (t *team) shown() adminapi.Team {
	shown := adminapi.Team{Name: t.Name, Limits: withDefaults(t.Limits), Tokens: []adminapi.Token{}}
	for _, token := range t.Tokens {
		shown.Tokens = append(shown.Tokens, adminapi.Token{ID: token.ID, CreatedBy: token.CreatedBy, CreatedAt: token.CreatedAt})
	}
	return shown
}

// withDefaults replaces zero limits by their defaults.
func withDefaults(limits adminapi.Limits) adminapi.Limits {
	if limits.Services == 0 {
		limits.Services = defaultServices
	}
	if limits.Targets == 0 {
		limits.Targets = defaultTargets
	}
	if limits.RequestsPerMinute == 0 {
		limits.RequestsPerMinute = defaultRequestsPerMinute
	}
	return limits
}
