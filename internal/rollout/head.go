package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// HeadKey is the platform key of the head object.
const HeadKey = "config/head"

// Head names one accepted revision.
type Head struct {
	// Revision grows by one with each acceptance.
	Revision uint64 `json:"revision"`
	// Services are ordered by name.
	Services []ServiceRef `json:"services"`
	// AcceptedBy is the operator who accepted the revision.
	AcceptedBy string `json:"accepted_by"`
	// AcceptedAt is the operator's clock at acceptance.
	AcceptedAt time.Time `json:"accepted_at"`
	// AcceptID tells racing acceptances of equal content apart.
	AcceptID string `json:"accept_id"`
	// History lists the latest revisions, newest first, this one included.
	History []HistoryEntry `json:"history,omitempty"`
}

// ServiceRef names the accepted body of one service.
type ServiceRef struct {
	Name string `json:"name"`
	// Hash is the content address of the body.
	Hash string `json:"hash"`
	// Nonce makes the body's key unique to its acceptance.
	Nonce string `json:"nonce,omitempty"`
	// Revision is the revision that brought the body into force.
	Revision uint64 `json:"revision,omitempty"`
	// Version is the platform version of the body's object.
	Version platform.Version `json:"version,omitempty"`
}

// BodyKey returns the platform key of a service body.
func BodyKey(ref ServiceRef) string {
	key := "config/services/" + ref.Name + "/" + ref.Hash
	if ref.Nonce == "" {
		return key
	}
	return key + "-" + ref.Nonce
}

const (
	// historyLimit is the number of revisions that a head lists.
	historyLimit = 100
	// historyNames bounds the service names that one entry lists.
	historyNames = 16
	// bodyRetention is the number of revisions for which a body is kept after
	// it was replaced.
	bodyRetention = 8
	// deleteRounds is the number of acceptances that try to delete a body.
	deleteRounds = 2
)

// HistoryEntry is one past acceptance.
type HistoryEntry struct {
	Revision   uint64    `json:"revision"`
	AcceptedBy string    `json:"accepted_by"`
	AcceptedAt time.Time `json:"accepted_at"`
	AcceptID   string    `json:"accept_id"`
	// Changed and Removed name services, as many as fit.
	Changed []string `json:"changed,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// More counts the services that Changed and Removed leave out.
	More int `json:"more,omitempty"`
	// Replaced are bodies that the revision put out of force and that are still
	// kept.
	Replaced []ServiceRef `json:"replaced,omitempty"`
}

// Change is one difference between two revisions.
type Change struct {
	Service string `json:"service"`
	// Removed is set for a service that was removed.
	Removed bool `json:"removed,omitempty"`
	// Revision is the latest revision that changed the service.
	Revision uint64 `json:"revision"`
	// By is the operator who accepted that revision; "" if it is too old.
	By string `json:"by,omitempty"`
}

// String returns the change as one short phrase.
func (c Change) String() string {
	verb := "changed"
	if c.Removed {
		verb = "removed"
	}
	return fmt.Sprintf("%s (%s in revision %d by %s)", c.Service, verb, c.Revision, c.By)
}

// Ref returns the reference to a service's body, and whether the head has it.
func (h *Head) Ref(service string) (ServiceRef, bool) {
	i := sort.Search(len(h.Services), func(i int) bool { return h.Services[i].Name >= service })
	if i < len(h.Services) && h.Services[i].Name == service {
		return h.Services[i], true
	}
	return ServiceRef{}, false
}

// Hash returns the content address of a service in the head, or "".
func (h *Head) Hash(service string) string {
	ref, _ := h.Ref(service)
	return ref.Hash
}

// ChangesSince returns what was accepted after revision base, ordered by
// service. Complete is false if removals may be missing from the result.
func (h *Head) ChangesSince(base uint64) (changes []Change, complete bool) {
	operators := map[uint64]string{}
	removed := map[string]Change{}
	oldest := h.Revision + 1
	complete = true
	for _, entry := range h.History {
		oldest = entry.Revision
		operators[entry.Revision] = entry.AcceptedBy
		if entry.Revision <= base {
			break
		}
		complete = complete && entry.More == 0
		h.collectRemoved(entry, removed)
	}
	for _, ref := range h.Services {
		if ref.Revision > base {
			changes = append(changes, Change{Service: ref.Name, Revision: ref.Revision, By: operators[ref.Revision]})
		}
	}
	for _, change := range removed {
		changes = append(changes, change)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Service < changes[j].Service })
	return changes, complete && oldest <= base+1
}

func (h *Head) collectRemoved(entry HistoryEntry, removed map[string]Change) {
	for _, name := range entry.Removed {
		_, later := removed[name]
		_, present := h.Ref(name)
		if !later && !present {
			removed[name] = Change{Service: name, Removed: true, Revision: entry.Revision, By: entry.AcceptedBy}
		}
	}
}

// Accepted returns the revision that the acceptance with the given ID made.
func (h *Head) Accepted(id string) (uint64, bool) {
	if h.Revision > 0 && h.AcceptID == id {
		return h.Revision, true
	}
	for _, entry := range h.History {
		if entry.AcceptID == id {
			return entry.Revision, true
		}
	}
	return 0, false
}

// Stale returns the error of an acceptance that started from base.
func (h *Head) Stale(base uint64) *StaleError {
	changes, complete := h.ChangesSince(base)
	return &StaleError{Base: base, Current: h.Revision, Changes: changes, Truncated: !complete}
}

// ReadHead returns the head and its version. Before the first acceptance both
// are zero.
func ReadHead(store platform.Store) (Head, platform.Version, error) {
	object, err := store.Get(HeadKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := ParseHead(object.Value)
	return head, object.Version, err
}

// ParseHead decodes a head object. The error is a *CorruptError.
func ParseHead(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, &CorruptError{Key: HeadKey, Cause: err}
	}
	return head, nil
}
