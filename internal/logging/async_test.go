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

// stalled is a writer that takes nothing until it is let go.
type stalled struct {
	mu      sync.Mutex
	written bytes.Buffer
	begun   chan struct{}
	once    sync.Once
}

func newStalled() *stalled {
	s := &stalled{begun: make(chan struct{})}
	s.mu.Lock()
	return s
}

// Write implements io.Writer.
func (s *stalled) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.begun) })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// A reader of the log that stalls holds nobody up. What doesn't fit is counted.
func TestAStalledWriterHoldsNobodyUp(t *testing.T) {
	out := newStalled()
	async := NewAsync(out)
	log := New(async, "info")
	log.Info("first")
	<-out.begun
	const lines = 3 * maxPending
	for i := range lines {
		log.Info("line ", i)
	}
	dropped := async.Dropped()
	require.EqualValues(t, lines-maxPending, dropped)
	require.False(t, async.Close(time.Millisecond), "closed though nothing was written")
	out.mu.Unlock()
	require.True(t, async.Close(time.Minute))
	text := out.written.String()
	require.Contains(t, text, fmt.Sprint("dropped=", dropped))
	require.Equal(t, 1+maxPending+1, strings.Count(text, "\n"))
}

func TestLinesAreWrittenInOrderAndAllAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	async := NewAsync(&out)
	for i := range 50 {
		_, err := fmt.Fprintf(async, "%02d\n", i)
		require.NoError(t, err)
	}
	require.True(t, async.Close(time.Minute))
	lines := strings.Fields(out.String())
	require.Len(t, lines, 50)
	require.IsIncreasing(t, lines)
	require.Zero(t, async.Dropped())
}
