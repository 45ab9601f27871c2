package route

import (
	"crypto/sha256"
	"math"
)

// Workspace is a team whose requests carry one of its keys.
type Workspace struct {
	Name string
	// Keys are the keys of its requests. A workspace without keys can't send any. They are
	// secret and therefore left out of JSON.
	Keys []string `json:"-"`
	// Priority replaces that of the route; nil keeps the route's.
	Priority *int
	Quota    Quota
}

// Quota limits the requests of a workspace over all daemons together.
type Quota struct {
	// Rate is the number of requests per second; 0 means that there is no limit.
	Rate float64
	// Burst is the number of requests that may exceed Rate at once.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// keyHash identifies a key. Hashing makes the time of a look-up independent of how much of a key
// is right.
type keyHash [sha256.Size]byte

// RequiresKeys reports whether requests need the key of a workspace, except on routes that allow
// anonymous requests.
func (t *Table) RequiresKeys() bool { return t.config.RequireKeys }

// Workspaces returns the configured workspaces. Callers of it must not modify them.
func (t *Table) Workspaces() []*Workspace { return t.config.Workspaces }

// FindWorkspace returns the workspace that holds a key, or nil if none does.
func (t *Table) FindWorkspace(key []byte) *Workspace { return t.workspaces[sha256.Sum256(key)] }

// MaxQuotaRate returns the highest rate of a quota, or 1 if no workspace has a quota.
func (t *Table) MaxQuotaRate() float64 { return t.maxQuotaRate }

func maxQuotaRate(workspaces []*Workspace) float64 {
	highest := 0.0
	for _, w := range workspaces {
		highest = max(highest, w.Quota.Rate)
	}
	if highest == 0 {
		return 1
	}
	return highest
}

func (t *Table) addWorkspaces() error {
	t.maxQuotaRate = maxQuotaRate(t.config.Workspaces)
	names := make(map[string]struct{}, len(t.config.Workspaces))
	for _, w := range t.config.Workspaces {
		if err := w.validate(); err != nil {
			return err
		}
		if _, found := names[w.Name]; found {
			return &InvalidError{Workspace: w.Name, Problem: DuplicateWorkspaceName}
		}
		names[w.Name] = struct{}{}
		for _, key := range w.Keys {
			hash := sha256.Sum256([]byte(key))
			if t.workspaces[hash] != nil {
				return &InvalidError{Workspace: w.Name, Problem: DuplicateKey}
			}
			t.workspaces[hash] = w
		}
	}
	return nil
}

// validate rejects a workspace that can't be used as configured.
func (w *Workspace) validate() error {
	problem := Problem("")
	switch {
	case w.Name == "":
		problem = MissingWorkspaceName
	case !isNotNegative(w.Quota.Rate), !isNotNegative(w.Quota.Burst):
		problem = InvalidQuota
	case w.Priority != nil && *w.Priority < 0:
		problem = InvalidPriority
	}
	for _, key := range w.Keys {
		if key == "" {
			problem = EmptyKey
		}
	}
	if problem == "" {
		return nil
	}
	return &InvalidError{Workspace: w.Name, Problem: problem}
}

// isNotNegative reports whether a number is finite and not negative, which NaN isn't.
func isNotNegative(number float64) bool { return number >= 0 && !math.IsInf(number, 0) }
