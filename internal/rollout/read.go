package rollout

import "github.com/poplarwheel/poplarwheel/internal/platform"

// Read returns the accepted configuration as the platform holds it. Errors are
// *CorruptError, *MissingBodyError and those of platform.Store.
func Read(store platform.Store) (*Applied, error) {
	head, version, err := ReadHead(store)
	if err != nil {
		return nil, err
	}
	bodies, err := newLoader(store, nil).load(head, NewApplied(), nil, true)
	if err != nil {
		return nil, err
	}
	return &Applied{Head: head, Version: version, Source: SourcePlatform, Bodies: bodies}, nil
}
