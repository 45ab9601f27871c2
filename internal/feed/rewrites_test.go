package feed

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
)

// A daemon deregisters while its registration is being written again.
func TestRewriteDoesNotUndoALaterWrite(t *testing.T) {
	writes := NewWriteLog()
	key := ObjectKey{Kind: "daemons", Name: "vm-1"}
	writes.Record(key, "registered")
	stored := map[ObjectKey]any{}
	apply := func(key ObjectKey, spec any) { stored[key] = spec }
	var deregister sync.Once
	rewriter := &Rewriter{
		Writes: writes,
		Apply: func(key ObjectKey, spec any) error {
			deregister.Do(func() {
				writes.Record(key, nil)
				apply(key, nil)
			})
			apply(key, spec)
			return nil
		},
		Epoch: func() uint64 { return 2 },
		Log:   logging.Discard(),
	}
	rewriter.Rewrite(2)
	require.Nil(t, stored[key])
}
