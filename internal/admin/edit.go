package admin

import (
	"errors"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

const (
	// editPatience bounds the time that a change of the teams spends on retries.
	editPatience = 5 * time.Second
	// editRetryBase and editRetryMax bound the pauses between them.
	editRetryBase = 50 * time.Millisecond
	editRetryMax  = 500 * time.Millisecond
)

// edit is a change of the teams.
type edit struct {
	// apply returns the changed document.
	apply func(*document) (*document, error)
	// done reports whether a document shows the change. It is asked after a write
	// whose answer was lost.
	done func(*document) bool
}

// editor carries out one change.
type editor struct {
	directory *directory
	edit      edit
	retrier   *backoff.Retrier
	// unsure is set once an answer was lost.
	unsure bool
}

// change makes a change by a conditional update and returns the teams after it. It
// tries again when another change came first or the platform fails. Errors are those
// of edit.apply, *UnsureError, *CorruptError and those of platform.Store. But for an
// *UnsureError, nothing was changed.
func (d *directory) change(e edit) (*document, error) {
	editor := &editor{
		directory: d,
		edit:      e,
		retrier:   backoff.NewRetrier(backoff.Backoff{Base: editRetryBase, Max: editRetryMax}, editPatience),
	}
	for {
		changed, err := editor.try()
		if err == nil {
			return changed, nil
		}
		if !editor.retry(err) {
			return nil, editor.final(err)
		}
	}
}

// try reads the teams and writes them with the change. After a lost answer, the
// write goes to the same version until the version moves: until then, the first
// one may still take effect.
func (e *editor) try() (*document, error) {
	current, version, err := e.directory.read()
	if err != nil {
		return nil, err
	}
	if e.unsure && e.edit.done(current) {
		return current, nil
	}
	next, err := e.edit.apply(current)
	if err != nil {
		return nil, err
	}
	written, err := e.write(next, version)
	if err != nil {
		return nil, err
	}
	e.directory.install(next, written, e.directory.now())
	return next, nil
}

func (e *editor) write(next *document, version platform.Version) (platform.Version, error) {
	value, err := next.encode()
	if err != nil {
		return 0, err
	}
	if version == 0 {
		return e.directory.store.Create(TeamsKey, value)
	}
	return e.directory.store.Update(TeamsKey, version, value)
}

// retry pauses before another try. It returns false when patience is over or the
// error is final.
func (e *editor) retry(err error) bool {
	var (
		unavailable *platform.UnavailableError
		conflict    *platform.ConflictError
	)
	switch {
	case errors.As(err, &unavailable):
		e.unsure = e.unsure || unavailable.MayHaveApplied
	case !errors.As(err, &conflict):
		return false
	}
	return e.retrier.Pause()
}

// final returns the error of the whole change.
func (e *editor) final(err error) error {
	if e.unsure {
		return &UnsureError{Cause: err}
	}
	return err
}
