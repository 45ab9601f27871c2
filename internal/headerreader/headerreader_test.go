package headerreader

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReaderBuffersHeaderOfAnyLength(t *testing.T) {
	for _, size := range []int{1, pooledBufferBytes, pooledBufferBytes + 1, 4 * pooledBufferBytes} {
		header := bytes.Repeat([]byte("h"), size)
		message := append(header, "body"...)
		reader := Acquire(message, size)
		peeked, err := reader.Buffered.Peek(size)
		require.NoError(t, err)
		require.Equal(t, header, peeked)
		_, err = reader.Buffered.Discard(size)
		require.NoError(t, err)
		require.Equal(t, len("body"), reader.Unread())
		reader.Release()
	}
}

func TestReusedReaderContainsNoPreviousMessage(t *testing.T) {
	for range 100 {
		first := Acquire([]byte("first message"), 1)
		_, err := first.Buffered.ReadByte()
		require.NoError(t, err)
		first.Release()
		second := Acquire([]byte("second"), 1)
		content, err := io.ReadAll(second.Buffered)
		require.NoError(t, err)
		require.Equal(t, "second", string(content))
		second.Release()
	}
}
