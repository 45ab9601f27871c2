package rollout

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
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

// Accept brings a change into force by one conditional update and returns the
// new revision. It retries for a while when the platform fails. Errors are
// *strictjson.InvalidError, *StaleError, *UnsureError and those of
// platform.Store. But for an *UnsureError, nothing was accepted.
func Accept(store platform.Store, change Acceptance) (uint64, error) {
	if err := change.Check(); err != nil {
		return 0, err
	}
	a := &acceptor{
		store:   store,
		change:  change,
		retrier: backoff.NewRetrier(backoff.Backoff{Base: acceptRetryBase, Max: acceptRetryMax}, acceptPatience),
		nonce:   config.Hash([]byte(change.ID + uuid.NewString()))[:nonceHexDigits],
	}
	return a.run()
}

// acceptor carries out one acceptance.
type acceptor struct {
	store   platform.Store
	change  Acceptance
	retrier *backoff.Retrier
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
	return errors.As(err, &unavailable) && a.retrier.Pause()
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
