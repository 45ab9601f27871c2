package rollout

import (
	"errors"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

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
