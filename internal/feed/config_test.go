package feed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// One watch may return a valid version and, behind it, an entry that another writer has left.
func TestValidConfigurationBeforeAnInvalidOneIsNotLost(t *testing.T) {
	applied := 0
	mirror := &ConfigMirror{
		Name:     "main",
		Log:      logging.Discard(),
		OnChange: func(*route.Table) { applied++ },
		Decode: func(spec []byte) (*route.Table, error) {
			if string(spec) == "invalid" {
				return nil, Error.New("invalid")
			}
			return &route.Table{}, nil
		},
	}
	mirror.Apply([]Event{
		{Object: Object{Name: "main", Spec: []byte("valid")}},
		{Object: Object{Name: "main", Spec: []byte("invalid")}},
	})
	require.Equal(t, 1, applied)
}
