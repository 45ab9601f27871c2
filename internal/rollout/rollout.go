// Package rollout accepts configuration and brings it into force.
//
// The platform holds one head object, which names the revision and the content
// address of each service, and one immutable object for each service body. An
// acceptance writes the new bodies and then replaces the head by one conditional
// update, so a revision is accepted whole or not at all. A daemon fetches only
// the bodies whose content address changed.
package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
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
}

// ServiceRef names the accepted body of one service.
type ServiceRef struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

// BodyKey returns the platform key of a service body.
func BodyKey(ref ServiceRef) string {
	return "config/services/" + ref.Name + "/" + ref.Hash
}

// Hash returns the content address of a service in the head, or "".
func (h *Head) Hash(service string) string {
	for _, ref := range h.Services {
		if ref.Name == service {
			return ref.Hash
		}
	}
	return ""
}

// StaleError reports an acceptance based on a revision that is no longer in
// force.
type StaleError struct {
	// Base is the revision that the proposal started from.
	Base uint64
	// Current is the revision in force.
	Current uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("rollout: proposal is based on revision %d, revision %d is in force", e.Base, e.Current)
}

// UnsureError reports an acceptance whose result could not be read back.
type UnsureError struct{ Cause error }

// Error implements error.
func (e *UnsureError) Error() string {
	return fmt.Sprintf("rollout: the acceptance may or may not have taken effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnsureError) Unwrap() error { return e.Cause }

// CorruptError reports a stored object that can't be used.
type CorruptError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("rollout: object %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// HashMismatchError reports a body that differs from its content address.
type HashMismatchError struct{ Want, Have string }

// Error implements error.
func (e *HashMismatchError) Error() string {
	return fmt.Sprintf("content address is %s, want %s", e.Have, e.Want)
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
	head, err := parseHead(object.Value)
	return head, object.Version, err
}

func parseHead(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, &CorruptError{Key: HeadKey, Cause: err}
	}
	return head, nil
}

// Acceptance is a change of configuration to be accepted.
type Acceptance struct {
	// Base is the revision that the proposal was computed against.
	Base uint64
	// Services replace the accepted services of the same names.
	Services []*config.Service
	// Removed names services to remove.
	Removed []string
	// By is the operator.
	By string
	// At is the operator's clock.
	At time.Time
	// ID identifies this acceptance when its answer is lost.
	ID string
}

// Accept brings a change into force by one conditional update and returns the
// new revision. Errors are *strictjson.InvalidError, *StaleError, *UnsureError
// and those of platform.Store.
func Accept(store platform.Store, change Acceptance) (uint64, error) {
	for _, service := range change.Services {
		if err := service.Check(); err != nil {
			return 0, err
		}
	}
	head, version, err := ReadHead(store)
	if err != nil {
		return 0, err
	}
	if head.AcceptID == change.ID {
		return head.Revision, nil
	}
	if head.Revision != change.Base {
		return 0, &StaleError{Base: change.Base, Current: head.Revision}
	}
	next, err := writeBodies(store, head, change)
	if err != nil {
		return 0, err
	}
	return replaceHead(store, version, next)
}

func writeBodies(store platform.Store, head Head, change Acceptance) (Head, error) {
	refs := map[string]string{}
	for _, ref := range head.Services {
		refs[ref.Name] = ref.Hash
	}
	for _, name := range change.Removed {
		delete(refs, name)
	}
	for _, service := range change.Services {
		encoded, err := service.Encode()
		if err != nil {
			return Head{}, &CorruptError{Key: service.Name, Cause: err}
		}
		ref := ServiceRef{Name: service.Name, Hash: config.Hash(encoded)}
		if err := createBody(store, ref, encoded); err != nil {
			return Head{}, err
		}
		refs[ref.Name] = ref.Hash
	}
	next := Head{Revision: head.Revision + 1, AcceptedBy: change.By, AcceptedAt: change.At, AcceptID: change.ID}
	for name, hash := range refs {
		next.Services = append(next.Services, ServiceRef{Name: name, Hash: hash})
	}
	sort.Slice(next.Services, func(i, j int) bool { return next.Services[i].Name < next.Services[j].Name })
	return next, nil
}

func createBody(store platform.Store, ref ServiceRef, encoded []byte) error {
	_, err := store.Create(BodyKey(ref), encoded)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

func replaceHead(store platform.Store, version platform.Version, next Head) (uint64, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, &CorruptError{Key: HeadKey, Cause: err}
	}
	if version == 0 {
		_, err = store.Create(HeadKey, value)
	} else {
		_, err = store.Update(HeadKey, version, value)
	}
	if err == nil {
		return next.Revision, nil
	}
	return readBack(store, next, err)
}

// readBack finds out whether a write of the head that failed took effect.
func readBack(store platform.Store, next Head, cause error) (uint64, error) {
	var unavailable *platform.UnavailableError
	if errors.As(cause, &unavailable) && !unavailable.MayHaveApplied {
		return 0, cause
	}
	head, _, err := ReadHead(store)
	if err != nil {
		return 0, &UnsureError{Cause: cause}
	}
	if head.AcceptID == next.AcceptID {
		return head.Revision, nil
	}
	if head.Revision >= next.Revision {
		return 0, &StaleError{Base: next.Revision - 1, Current: head.Revision}
	}
	return 0, &UnsureError{Cause: cause}
}

// Load fetches the bodies that current lacks and returns the head's snapshot.
func Load(store platform.Store, head Head, current *Applied) (*Applied, error) {
	next := &Applied{Head: head, Bodies: map[string]*config.Service{}}
	for _, ref := range head.Services {
		service, err := loadBody(store, ref, current)
		if err != nil {
			return nil, err
		}
		next.Bodies[ref.Name] = service
	}
	return next, nil
}

func loadBody(store platform.Store, ref ServiceRef, current *Applied) (*config.Service, error) {
	if current.Head.Hash(ref.Name) == ref.Hash {
		return current.Bodies[ref.Name], nil
	}
	object, err := store.Get(BodyKey(ref))
	if err != nil {
		return nil, err
	}
	if have := config.Hash(object.Value); have != ref.Hash {
		return nil, &CorruptError{Key: object.Key, Cause: &HashMismatchError{Want: ref.Hash, Have: have}}
	}
	service, err := config.ParseService(object.Value)
	if err != nil {
		return nil, &CorruptError{Key: object.Key, Cause: err}
	}
	return service, nil
}

// Applied is a head with its bodies. It is immutable.
type Applied struct {
	Head   Head
	Bodies map[string]*config.Service
}

// NewApplied returns the state before the first acceptance.
func NewApplied() *Applied {
	return &Applied{Bodies: map[string]*config.Service{}}
}

// Snapshot returns the configuration in force.
func (a *Applied) Snapshot() *config.Snapshot {
	return &config.Snapshot{Revision: a.Head.Revision, Services: a.Bodies}
}
