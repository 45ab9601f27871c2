package feed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
)

// Guards against an object that can't be understood and yet begins or ends an evacuation.
func TestOddEvacuationsHaveNoEffect(t *testing.T) {
	var zones []string
	mirror := NewEvacuationMirror([]string{"z-a", "z-b"}, func(evacuated []string) { zones = evacuated }, logging.Discard())
	valid := func(name string) Object { return Object{Name: name, Spec: []byte(`{}`)} }
	mirror.Reset([]Object{valid("z-a"), valid("z-x"), valid(""), {Name: "z-b", Spec: []byte(`[]`)}}, NoGap)
	require.Equal(t, []string{"z-a"}, zones)
	mirror.Apply([]Event{{Object: Object{Name: "z-a"}}, {Object: Object{Name: "z-b", Spec: []byte(`7`)}}})
	require.Equal(t, []string{"z-a"}, zones, "the object of z-a exists still")
	mirror.Reset([]Object{{Name: "z-a"}, valid("z-b")}, Outage)
	require.Equal(t, []string{"z-a", "z-b"}, zones)
	mirror.Apply([]Event{{Object: Object{Name: "z-x"}, Deleted: true}, {Object: Object{Name: "z-a"}, Deleted: true}})
	require.Equal(t, []string{"z-b"}, zones)
	mirror.Reset(nil, NoGap)
	require.Empty(t, zones)
}
