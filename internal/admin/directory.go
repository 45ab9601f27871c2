package admin

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// TeamsKey is the platform key of the teams.
const TeamsKey = "admin/teams"

const (
	// teamsMaxAge is the age from which the teams are read again before a request
	// is authenticated.
	teamsMaxAge = 2 * time.Second
	// teamsIdleAge is the age from which they are read again without a request, so
	// that an outage of the platform finds a recent copy.
	teamsIdleAge = 30 * time.Second
	// teamsRetryBase and teamsRetryMax bound the pauses after failed reads while
	// there is no copy.
	teamsRetryBase = 500 * time.Millisecond
	teamsRetryMax  = 4 * time.Second
)

// directory is a daemon's copy of the teams. It is safe for concurrent use.
type directory struct {
	store platform.Store
	log   logrus.FieldLogger
	now   func() time.Time
	copy  atomic.Pointer[directoryCopy]
	// readMu is held during a read, so that requests share it.
	readMu sync.Mutex
	// tried is when the last read began.
	tried time.Time
}

// directoryCopy is one read of the teams. It is immutable.
type directoryCopy struct {
	document *document
	version  platform.Version
	readAt   time.Time
}

func newDirectory(store platform.Store, log logrus.FieldLogger, now func() time.Time) *directory {
	return &directory{store: store, log: log, now: now}
}

// current returns the teams, at most teamsMaxAge old while the platform answers.
// Without a copy the error is that of platform.Store, or a *CorruptError.
func (d *directory) current() (*document, error) {
	if held := d.copy.Load(); held != nil && d.now().Sub(held.readAt) <= teamsMaxAge {
		return held.document, nil
	}
	err := d.refresh()
	if held := d.copy.Load(); held != nil {
		return held.document, nil
	}
	return nil, err
}

// refresh reads the teams if the last try is more than teamsMaxAge ago, or there is
// no copy.
func (d *directory) refresh() error {
	d.readMu.Lock()
	defer d.readMu.Unlock()
	began := d.now()
	held := d.copy.Load()
	if held != nil && began.Sub(d.tried) <= teamsMaxAge {
		return nil
	}
	d.tried = began
	var after platform.Version
	if held != nil {
		after = held.version
	}
	object, err := d.store.Watch(TeamsKey, after, 0)
	if err != nil {
		return err
	}
	if object.Version > after && len(object.Value) > 0 {
		return d.parse(object, began)
	}
	if held == nil {
		held = &directoryCopy{document: &document{}}
	}
	d.install(held.document, after, began)
	return nil
}

func (d *directory) parse(object platform.Object, readAt time.Time) error {
	parsed, err := parseDocument(object.Value)
	if err != nil {
		d.log.WithError(err).Error("teams not read")
		return err
	}
	d.install(parsed, object.Version, readAt)
	return nil
}

// install replaces the copy, unless it is of a later version.
func (d *directory) install(next *document, version platform.Version, readAt time.Time) {
	for {
		held := d.copy.Load()
		if held != nil && held.version > version {
			return
		}
		if d.copy.CompareAndSwap(held, &directoryCopy{document: next, version: version, readAt: readAt}) {
			return
		}
	}
}

// run keeps a recent copy until stop is closed.
func (d *directory) run(stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	failed := backoff.Backoff{Base: teamsRetryBase, Max: teamsRetryMax}
	for {
		pause := backoff.Jitter(rng, teamsIdleAge)
		if err := d.refresh(); err != nil && d.copy.Load() == nil {
			pause = failed.Next(rng)
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return
		}
	}
}

// read returns the teams as the platform has them. Errors are those of
// platform.Store and *CorruptError.
func (d *directory) read() (*document, platform.Version, error) {
	began := d.now()
	object, err := d.store.Get(TeamsKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return &document{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	parsed, err := parseDocument(object.Value)
	if err != nil {
		return nil, 0, err
	}
	d.install(parsed, object.Version, began)
	return parsed, object.Version, nil
}
