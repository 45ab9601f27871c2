package framing

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const encoded = "5;name=\"v\"\r\nhello\r\nA \r\n0123456789\r\n0\r\nX-Sum: 1\r\nY: 2\r\n\r\n"

// scanPieces scans a body that grows by the given number of bytes a call.
func scanPieces(body []byte, step int, limit int) (size int, complete bool, payload int, err error) {
	chunks := Chunks{MaxPayload: limit}
	for end := 0; ; end += step {
		end = min(end, len(body))
		size, complete, err = chunks.Scan(body[:end:end])
		if complete || err != nil || end == len(body) {
			return size, complete, chunks.Payload(), err
		}
	}
}

// However a body is cut, its end is found, and no prefix counts as complete or invalid.
func TestEndIsFoundAtEveryCut(t *testing.T) {
	body := []byte(encoded)
	for cut := 0; cut <= len(body); cut++ {
		var chunks Chunks
		size, complete, err := chunks.Scan(body[:cut:cut])
		require.NoError(t, err, "cut at %d", cut)
		require.Equal(t, cut == len(body), complete, "cut at %d", cut)
		if complete {
			continue
		}
		require.Greater(t, size, cut)
		require.LessOrEqual(t, size, len(body), "more bytes asked for than the body has, cut at %d", cut)
		size, complete, err = chunks.Scan(append(body[:len(body):len(body)], "HTTP/1.1"...))
		require.NoError(t, err, "cut at %d", cut)
		require.True(t, complete, "cut at %d", cut)
		require.Equal(t, len(body), size, "cut at %d", cut)
		require.Equal(t, 15, chunks.Payload())
	}
}

func TestInvalidBodiesAreRejected(t *testing.T) {
	for name, test := range map[string]struct {
		body    string
		problem Problem
	}{
		"no digits":          {"\r\n", InvalidSize},
		"letters":            {"xyz\r\n", InvalidSize},
		"negative":           {"-1\r\n", InvalidSize},
		"overflow":           {strings.Repeat("F", 17) + "\r\n", InvalidSize},
		"bytes after size":   {"5 6\r\n", InvalidSize},
		"no CRLF after data": {"2\r\nabc\r\n", MissingCRLF},
		"size without end":   {strings.Repeat("0", MaxChunkLineBytes+1), LineTooLong},
		"extension":          {"1;" + strings.Repeat("x", MaxChunkLineBytes) + "\r\n", LineTooLong},
		"trailers":           {"0\r\n" + strings.Repeat("A: b\r\n", MaxTrailerBytes/6+1), TrailersTooLong},
		"trailer line":       {"0\r\n" + strings.Repeat("A", MaxTrailerBytes+1), TrailersTooLong},
		"too large":          {"65\r\n", BodyTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, err := scanPieces([]byte(test.body), 7, 100)
			var invalid *ChunkError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, test.problem, invalid.Problem)
		})
	}
}

// Any split of any bytes gives the same result as the bytes whole.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{encoded, "0\r\n\r\n", "5\r\nhel", "1\r\na\r\n0\r\nT", "zz", "\n", "2\r\nab\n\r0"} {
		f.Add([]byte(seed), uint8(1))
		f.Add([]byte(seed), uint8(3))
	}
	f.Fuzz(func(t *testing.T, body []byte, step uint8) {
		const limit = 1 << 10
		size, complete, payload, err := scanPieces(body, int(step)+1, limit)
		whole := Chunks{MaxPayload: limit}
		wholeSize, wholeComplete, wholeErr := whole.Scan(body)
		require.Equal(t, wholeComplete, complete)
		require.Equal(t, wholeErr == nil, err == nil)
		if complete {
			require.Equal(t, wholeSize, size)
			require.Equal(t, whole.Payload(), payload)
		}
	})
}
