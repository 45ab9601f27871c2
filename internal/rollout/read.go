package rollout

import (
	"math"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// Read returns the accepted configuration as the platform holds it. Errors are
// *CorruptError, *MissingBodyError and those of platform.Store.
func Read(store platform.Store) (*Applied, error) {
	return ReadFrom(store, NewApplied(), math.MaxInt)
}

// ReadFrom returns the accepted configuration as the platform holds it, and reads
// only the bodies that known lacks. Errors are those of Read, and *BehindError if
// known lacks more than limit bodies.
func ReadFrom(store platform.Store, known *Applied, limit int) (*Applied, error) {
	head, version, err := ReadHead(store)
	if err != nil {
		return nil, err
	}
	if head.Revision == known.Head.Revision && head.AcceptID == known.Head.AcceptID {
		return known, nil
	}
	loader := newLoader(store, nil)
	if missing := loader.collect(head.Services, known, map[string]*Body{}); len(missing) > limit {
		return nil, &BehindError{Revision: head.Revision, Missing: len(missing)}
	}
	bodies, err := loader.load(head, known, nil, true)
	if err != nil {
		return nil, err
	}
	return &Applied{Head: head, Version: version, Source: SourcePlatform, Bodies: bodies}, nil
}
