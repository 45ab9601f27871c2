package framing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// decodePieces decodes a body that arrives in pieces of the given size. It returns the data, the
// number of bytes that were decoded, and whether the body is complete.
func decodePieces(body []byte, step, limit int) (data []byte, decoded int, complete bool, err error) {
	decoder := Decoder{MaxPayload: limit}
	for start := 0; start < len(body); start += step {
		piece := body[start:min(start+step, len(body))]
		for len(piece) > 0 && !complete {
			found, n, end, err := decoder.Next(piece)
			if err != nil {
				return data, decoder.Offset(), false, err
			}
			data, complete, piece = append(data, found...), end, piece[n:]
		}
	}
	return data, decoder.Offset(), complete, nil
}

// A body must be decoded alike however it is cut, with no byte behind its end.
func TestDecoderDecodesAtEveryCut(t *testing.T) {
	body := []byte(encoded + "next")
	for step := 1; step <= len(body); step++ {
		data, decoded, complete, err := decodePieces(body, step, 0)
		require.NoError(t, err)
		require.True(t, complete)
		require.Equal(t, "hello0123456789", string(data))
		require.Equal(t, len(encoded), decoded)
	}
}

// The decoder must find the same end and the same errors as Chunks, which is used for bodies that
// arrive whole. Otherwise bytes of one request could be taken for another one.
func FuzzDecoder(f *testing.F) {
	for _, seed := range []string{
		encoded, "0\r\n\r\n", "5\r\nhel", "1\r\na\r\n0\r\nT", "zz", "\n", "2\r\nab\n\r0", "1\r\nab", "5 ;x\r\n", "1\n", "1;a\rb\r\n",
	} {
		f.Add([]byte(seed), uint8(1))
		f.Add([]byte(seed), uint8(3))
	}
	f.Fuzz(func(t *testing.T, body []byte, step uint8) {
		const limit = 1 << 10
		whole := Chunks{MaxPayload: limit}
		size, wholeComplete, wholeErr := whole.Scan(body)
		data, decoded, complete, err := decodePieces(body, int(step)+1, limit)
		require.Equal(t, wholeComplete, complete)
		require.Equal(t, wholeErr == nil, err == nil)
		if complete {
			require.Equal(t, size, decoded)
			require.Len(t, data, whole.Payload())
		}
	})
}
