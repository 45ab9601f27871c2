package idempotency

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testContent(keys int) *Content {
	content := &Content{Generation: "g-1", ExpiresAt: time.Unix(1000, 0).UTC(), Entries: map[string]entry{}}
	for i := range keys {
		content.Entries[fmt.Sprint("1:", i)] = entry{
			Fingerprint: 1 << 63,
			Owner:       Owner{Incarnation: "0123456789abcdef", VM: "entry-1"},
			Attempt:     uint64(i),
			Outcome:     Outcome{Status: Ran, Answer: &Answer{StatusCode: 200, ContentType: "text/plain", Body: []byte{0, 0xff, byte(i)}}},
		}
	}
	return content
}

func TestContentIsDecodedCompressedAndPlain(t *testing.T) {
	for _, keys := range []int{0, 1, 1024} {
		content := testContent(keys)
		compressed, err := content.Encode()
		require.NoError(t, err)
		plain, err := json.Marshal(content)
		require.NoError(t, err)
		for _, value := range [][]byte{compressed, plain} {
			decoded, err := DecodeContent(value)
			require.NoError(t, err)
			require.Equal(t, content, decoded)
		}
	}
}

func TestCutOrSwollenContentIsRefused(t *testing.T) {
	value, err := testContent(10).Encode()
	require.NoError(t, err)
	swollen, err := compress(make([]byte, maxPlainBytes+1))
	require.NoError(t, err)
	for name, bad := range map[string][]byte{
		"empty": {}, "mark only": value[:1], "cut": value[:len(value)-2], "not compressed": {deflateMark, 0xff}, "swollen": swollen,
	} {
		_, err := DecodeContent(bad)
		var contentError *ContentError
		require.ErrorAs(t, err, &contentError, name)
	}
	_, err = DecodeContent(swollen)
	var sizeError *PlainSizeError
	require.ErrorAs(t, err, &sizeError)
}

func FuzzDecodeContent(f *testing.F) {
	value, err := testContent(2).Encode()
	require.NoError(f, err)
	f.Add(value)
	f.Add([]byte(`{"generation":"g","entries":{"1:a":{"fingerprint":"1"}}}`))
	f.Add([]byte{deflateMark})
	f.Fuzz(func(t *testing.T, value []byte) {
		content, err := DecodeContent(value)
		if err != nil {
			return
		}
		encoded, err := content.Encode()
		if err != nil {
			return // a time that JSON can't express
		}
		again, err := DecodeContent(encoded)
		require.NoError(t, err)
		first, err := json.Marshal(content)
		require.NoError(t, err)
		second, err := json.Marshal(again)
		require.NoError(t, err)
		require.True(t, bytes.Equal(first, second))
	})
}
