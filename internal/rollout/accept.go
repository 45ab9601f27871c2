package rollout

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/google/uuid"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

const (
	// acceptPatience bounds the time that an acceptance spends on retries.
	acceptPatience = 10 * time.Second
	// acceptRetryBase and acceptRetryMax bound the pauses between them.
	acceptRetryBase = 50 * time.Millisecond
	acceptRetryMax  = time.Second
	// nonceHexDigits is the length of a body's nonce.
	nonceHexDigits = 12
)

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
	// ID is unique to this acceptance. It identifies the acceptance when its
	// answer is lost.
	ID string
}

// Check validates the change as far as that needs no base. The error is a
// *strictjson.InvalidError.
func (a *Acceptance) Check() error {
	if a.ID == "" {
		return strictjson.Invalid("id", "must be given")
	}
	seen := map[string]bool{}
	for _, name := range a.Removed {
		if seen[name] {
			return strictjson.Invalid(name, "is removed twice")
		}
		seen[name] = true
	}
	for _, service := range a.Services {
		if err := service.Check(); err != nil {
			return err
		}
		if _, err := balancer.New(service.Policy); err != nil {
			return strictjson.Invalid(service.Name+".policy", "%v", err)
		}
		if seen[service.Name] {
			return strictjson.Invalid(service.Name, "is given or removed twice")
		}
		seen[service.Name] = true
	}
	return nil
}

// Accept brings a change into force by one conditional update and returns the
// new revision. It retries for a while when the platform fails. Errors are
// *strictjson.InvalidError, *StaleError, *UnsureError and those of
// platform.Store. But for an *UnsureError, nothing was accepted.
func Accept(store platform.Store, change Acceptance) (uint64, error) {
	if err := change.Check(); err != nil {
		return 0, err
	}
	a := &acceptor{
		store:    store,
		change:   change,
		deadline: time.Now().Add(acceptPatience),
		pause:    backoff.Backoff{Base: acceptRetryBase, Max: acceptRetryMax},
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		nonce:    config.Hash([]byte(change.ID + uuid.NewString()))[:nonceHexDigits],
	}
	return a.run()
}

// acceptor carries out one acceptance.
type acceptor struct {
	store    platform.Store
	change   Acceptance
	deadline time.Time
	pause    backoff.Backoff
	rng      *rand.Rand
	// nonce tells the bodies of this try apart from those of another one with the
	// same ID, which may be under way.
	nonce   string
	written []ServiceRef
}

func (a *acceptor) run() (uint64, error) {
	head, version, err := a.readHead()
	if err != nil {
		return 0, err
	}
	if revision, ok := head.Accepted(a.change.ID); ok {
		return revision, nil
	}
	if head.Revision != a.change.Base {
		return 0, head.Stale(a.change.Base)
	}
	next, err := a.prepare(head)
	if err != nil {
		a.deleteBodies(a.written)
		return 0, err
	}
	revision, err := a.replaceHead(version, next)
	var unsure *UnsureError
	if err == nil {
		a.deleteBodies(replacedBodies(next))
	} else if !errors.As(err, &unsure) {
		a.deleteBodies(a.written)
	}
	return revision, err
}

// retry pauses before another try. It returns false when patience is over or the
// error is final.
func (a *acceptor) retry(err error) bool {
	var unavailable *platform.UnavailableError
	if !errors.As(err, &unavailable) {
		return false
	}
	pause := a.pause.Next(a.rng)
	if time.Now().Add(pause).After(a.deadline) {
		return false
	}
	time.Sleep(pause)
	return true
}

func (a *acceptor) readHead() (Head, platform.Version, error) {
	for {
		head, version, err := ReadHead(a.store)
		if err == nil || !a.retry(err) {
			return head, version, err
		}
	}
}

// prepare writes the new bodies and returns the head that names them.
func (a *acceptor) prepare(base Head) (Head, error) {
	refs := map[string]ServiceRef{}
	for _, ref := range base.Services {
		refs[ref.Name] = ref
	}
	entry := HistoryEntry{
		Revision:   base.Revision + 1,
		AcceptedBy: a.change.By,
		AcceptedAt: a.change.At,
		AcceptID:   a.change.ID,
	}
	for _, name := range a.change.Removed {
		if ref, ok := refs[name]; ok {
			entry.remove(ref)
		}
		delete(refs, name)
	}
	for _, service := range a.change.Services {
		ref, err := a.writeBody(service, refs[service.Name], entry.Revision)
		if err != nil {
			return Head{}, err
		}
		entry.replace(refs[service.Name], ref)
		refs[service.Name] = ref
	}
	return assemble(base, entry, refs), nil
}

func assemble(base Head, entry HistoryEntry, refs map[string]ServiceRef) Head {
	next := Head{
		Revision:   entry.Revision,
		AcceptedBy: entry.AcceptedBy,
		AcceptedAt: entry.AcceptedAt,
		AcceptID:   entry.AcceptID,
		History:    appendHistory(base.History, entry),
	}
	for _, ref := range refs {
		next.Services = append(next.Services, ref)
	}
	sort.Slice(next.Services, func(i, j int) bool { return next.Services[i].Name < next.Services[j].Name })
	return next
}

func (e *HistoryEntry) remove(ref ServiceRef) {
	e.Replaced = append(e.Replaced, ref)
	if len(e.Removed) == historyNames {
		e.More++
		return
	}
	e.Removed = append(e.Removed, ref.Name)
}

func (e *HistoryEntry) replace(old, next ServiceRef) {
	if old == next {
		return
	}
	if old.Hash != "" {
		e.Replaced = append(e.Replaced, old)
	}
	if len(e.Changed) == historyNames {
		e.More++
		return
	}
	e.Changed = append(e.Changed, next.Name)
}

// appendHistory returns the history with entry in front. Bodies that every
// deletion round has passed are no longer listed.
func appendHistory(history []HistoryEntry, entry HistoryEntry) []HistoryEntry {
	next := append([]HistoryEntry{entry}, history...)
	if len(next) > historyLimit {
		next = next[:historyLimit]
	}
	for i := range next {
		if next[i].Revision+bodyRetention+deleteRounds <= entry.Revision {
			next[i].Replaced = nil
		}
	}
	return next
}

// replacedBodies returns the bodies whose retention is over at head.
func replacedBodies(head Head) []ServiceRef {
	var refs []ServiceRef
	for _, entry := range head.History {
		if entry.Revision+bodyRetention <= head.Revision {
			refs = append(refs, entry.Replaced...)
		}
	}
	return refs
}

// writeBody stores a body under a key of its own, unless it equals the one in
// force.
func (a *acceptor) writeBody(service *config.Service, current ServiceRef, revision uint64) (ServiceRef, error) {
	encoded, err := service.Encode()
	if err != nil {
		return ServiceRef{}, &CorruptError{Key: service.Name, Cause: err}
	}
	ref := ServiceRef{
		Name:     service.Name,
		Hash:     config.Hash(encoded),
		Nonce:    a.nonce,
		Revision: revision,
	}
	if current.Hash == ref.Hash {
		return current, nil
	}
	ref.Version, err = a.create(BodyKey(ref), encoded)
	if err == nil {
		a.written = append(a.written, ref)
	}
	return ref, err
}

// create stores an immutable object. The key is unique to its value, so an
// existing object is an earlier try whose answer was lost.
func (a *acceptor) create(key string, value []byte) (platform.Version, error) {
	for {
		version, err := a.store.Create(key, value)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			return conflict.Have, nil
		}
		if mayHaveApplied(err) {
			if object, readErr := a.store.Get(key); readErr == nil {
				return object.Version, nil
			}
		}
		if err == nil || !a.retry(err) {
			return version, err
		}
	}
}

func mayHaveApplied(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) && unavailable.MayHaveApplied
}

// replaceHead makes next the head. When the answer to the update is lost, the
// head is read back, and the update is sent again at the same version until its
// fate is known: while the version has not moved, an earlier try may still take
// effect.
func (a *acceptor) replaceHead(version platform.Version, next Head) (uint64, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, &CorruptError{Key: HeadKey, Cause: err}
	}
	if len(value) > platform.MaxValueBytes {
		return 0, &platform.TooLargeError{Key: HeadKey, Size: len(value)}
	}
	unsure := false
	for {
		err := a.putHead(version, value)
		if err == nil {
			return next.Revision, nil
		}
		unsure = unsure || mayHaveApplied(err)
		var conflict *platform.ConflictError
		if unsure || errors.As(err, &conflict) {
			revision, known, readErr := a.readBack(version, next)
			if known {
				return revision, readErr
			}
		}
		if !a.retry(err) {
			return 0, unsureIf(unsure, err)
		}
	}
}

func unsureIf(unsure bool, err error) error {
	if unsure {
		return &UnsureError{Cause: err}
	}
	return err
}

func (a *acceptor) putHead(version platform.Version, value []byte) error {
	if version == 0 {
		_, err := a.store.Create(HeadKey, value)
		return err
	}
	_, err := a.store.Update(HeadKey, version, value)
	return err
}

// readBack finds out whether the head has moved on from version, and whose doing
// it was. Known is false while it hasn't moved, or can't be read.
func (a *acceptor) readBack(version platform.Version, next Head) (revision uint64, known bool, err error) {
	head, have, err := a.readHead()
	if err != nil || have == version {
		return 0, false, nil
	}
	if revision, ok := head.Accepted(next.AcceptID); ok {
		return revision, true, nil
	}
	return 0, true, head.Stale(next.Revision - 1)
}

// deleteBodies removes bodies that no head names. Failures only leave garbage.
func (a *acceptor) deleteBodies(refs []ServiceRef) {
	for _, ref := range refs {
		if ref.Version == 0 {
			continue
		}
		if !a.deleteBody(ref) {
			return
		}
	}
}

// deleteBody returns false once patience with the platform is over.
func (a *acceptor) deleteBody(ref ServiceRef) bool {
	for {
		err := a.store.Delete(BodyKey(ref), ref.Version)
		var unavailable *platform.UnavailableError
		if !errors.As(err, &unavailable) {
			return true
		}
		if !a.retry(err) {
			return false
		}
	}
}
