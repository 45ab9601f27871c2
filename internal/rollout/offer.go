package rollout

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// offer brings a head into force unless it isn't newer than the one in force.
func (f *Follower) offer(head Head, version platform.Version, source string) (advanced bool, err error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	current := f.applied.Load()
	f.trackerMu.Lock()
	advances := f.tracker.Advances(head.Revision)
	from := f.tracker.PeersAt(head.Revision)
	f.trackerMu.Unlock()
	if !advances {
		return false, f.compare(head, version, current)
	}
	if source != SourcePlatform {
		from = append([]string{source}, from...)
	}
	bodies, err := f.loader.load(head, current, from, source == SourcePlatform)
	if err != nil {
		return false, err
	}
	f.commit(&Applied{Head: head, Version: version, Source: source, At: time.Now(), Bodies: bodies})
	return true, nil
}

// compare checks a head that isn't newer. A platform that shows an older one, as
// after a restore from a backup, is reported and not followed.
func (f *Follower) compare(head Head, version platform.Version, current *Applied) error {
	if head.Revision == current.Head.Revision {
		invariant.Check(head.AcceptID == current.Head.AcceptID, invariant.RevisionUnique,
			"revision %d has acceptances %s and %s", head.Revision, head.AcceptID, current.Head.AcceptID)
		return nil
	}
	if version > current.Version {
		return &OlderHeadError{Offered: head.Revision, Current: current.Head.Revision}
	}
	return nil
}

func (f *Follower) commit(next *Applied) {
	previous := f.applied.Load().Head.Revision
	invariant.Check(next.Head.Revision > previous, invariant.RevisionGrows,
		"revision %d follows %d", next.Head.Revision, previous)
	f.apply(next.Snapshot())
	f.applied.Store(next)
	f.trackerMu.Lock()
	f.tracker.Applied(time.Now(), next.Head.Revision)
	f.trackerMu.Unlock()
	f.log.WithField("revision", next.Head.Revision).
		WithField("source", next.Source).
		WithField("services", len(next.Head.Services)).
		Info("configuration applied")
}
