package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter is a writer whose Write blocks until mu is unlocked.
type blockingWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	// started is closed at the first Write.
	started chan struct{}
	once    sync.Once
}

func newBlockingWriter() *blockingWriter {
	w := &blockingWriter{started: make(chan struct{})}
	w.mu.Lock()
	return w
}

// Write implements io.Writer.
func (w *blockingWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.started) })
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// Logging must not block the process while whatever reads its log stalls. Lines beyond
// the queue are dropped and counted.
func TestLoggingDoesNotBlockOnAStalledWriter(t *testing.T) {
	out := newBlockingWriter()
	writer := NewAsyncWriter(out)
	log := New(writer, "info")
	log.Info("first")
	<-out.started
	const lines = 3 * maxQueuedLines
	for i := range lines {
		log.Info("line ", i)
	}
	dropped := writer.Dropped()
	require.EqualValues(t, lines-maxQueuedLines, dropped)
	require.False(t, writer.Close(time.Millisecond), "Close reported success before the queued lines were written")
	out.mu.Unlock()
	require.True(t, writer.Close(time.Minute))
	text := out.written.String()
	require.Contains(t, text, fmt.Sprint("dropped=", dropped))
	require.Equal(t, 1+maxQueuedLines+1, strings.Count(text, "\n"))
}

func TestCloseWritesAllLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	writer := NewAsyncWriter(&out)
	for i := range 50 {
		_, err := fmt.Fprintf(writer, "%02d\n", i)
		require.NoError(t, err)
	}
	require.True(t, writer.Close(time.Minute))
	lines := strings.Fields(out.String())
	require.Len(t, lines, 50)
	require.IsIncreasing(t, lines)
	require.Zero(t, writer.Dropped())
}
