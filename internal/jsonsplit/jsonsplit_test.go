package jsonsplit

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestElementsSurviveOnesThatCannotBeDecoded(t *testing.T) {
	deep := strings.Repeat(`[{"a":`, 20_000) + "1" + strings.Repeat("}]", 20_000)
	elements, err := Elements([]byte(" [ {\"a\":\"]\\\"}\"} ," + deep + ", 1e999, \"\x00\xff\", {nonsense}, [ ] ]\n"))
	require.NoError(t, err)
	require.Len(t, elements, 6)
	require.Equal(t, `{"a":"]\"}"}`, string(elements[0]))
	require.Equal(t, deep, string(elements[1]))
	require.Equal(t, `1e999`, string(elements[2]))
	require.Equal(t, `[ ]`, string(elements[5]))
	require.Equal(t, 40_000, Depth(elements[1]))
	require.Equal(t, 1, Depth(elements[0]))
	require.Zero(t, Depth(elements[2]))
}

func TestFieldsAreSplit(t *testing.T) {
	fields, err := Fields([]byte(`{"items": [1, {"count": 2}], "count" :3,"items":[4]}`))
	require.NoError(t, err)
	require.Len(t, fields, 2)
	require.Equal(t, `[4]`, string(fields["items"]))
	require.Equal(t, `3`, string(fields["count"]))
	fields, err = Fields([]byte(" null "))
	require.NoError(t, err)
	require.Empty(t, fields)
}

func TestTextThatIsNotWholeIsAnError(t *testing.T) {
	for _, text := range []string{"", "1", "[", "[1", "[1,", "[,1]", "[1,]", "[1]2", `["]`, "{}"} {
		_, err := Elements([]byte(text))
		require.ErrorIs(t, err, ErrInvalid, text)
	}
	for _, text := range []string{"", "[]", "{", `{"a"}`, `{"a":}`, `{"a":1`, `{a:1}`, `{"a":1,}`} {
		_, err := Fields([]byte(text))
		require.ErrorIs(t, err, ErrInvalid, text)
	}
}

// FuzzElements checks that a valid array is split as encoding/json splits it, and that nothing
// makes the functions panic.
func FuzzElements(f *testing.F) {
	for _, seed := range []string{`[]`, `[1, "a]", {"b":[2,{}]}]`, `["\\\"", null]`, `[[}`, "[\"\x00\"]", `{"a":{"b":1}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, _ = Fields(text)
		_ = Depth(text)
		elements, err := Elements(text)
		var expected []json.RawMessage
		if json.Unmarshal(text, &expected) != nil {
			return
		}
		require.NoError(t, err)
		require.Len(t, elements, len(expected))
		for i := range expected {
			require.Equal(t, string(expected[i]), string(elements[i]))
		}
	})
}
