package daemon

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
)

func TestDumpHasTheFormOfTheStandardLibrary(t *testing.T) {
	dump := &Dump{
		Name:    "entry-1 <&> \u2028",
		Started: time.Unix(1000, 5).UTC(),
		Members: []membership.Member{{}},
		Targets: []proxy.TargetState{{Name: "target-1", State: dispatch.TargetIn, LatencyMs: 1e-9}},
		Sections: map[string]any{
			"b": map[string]uint64{"y": 1 << 63, "x": 2},
			"a": []string(nil),
			"c": time.Second,
		},
	}
	want, err := json.MarshalIndent(dump, "", "  ")
	require.NoError(t, err)
	var have bytes.Buffer
	require.NoError(t, writeDump(&have, dump))
	require.Equal(t, string(want), have.String())
}
