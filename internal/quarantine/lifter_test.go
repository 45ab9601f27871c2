package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While other daemons don't answer, lifts must not pile up. Once they answer, lifts are sent again.
func TestLiftsInProgressAreBounded(t *testing.T) {
	answer := make(chan struct{})
	sent := make(chan Content, maxLifts+1)
	lifter := NewLifter(func(content Content) {
		<-answer
		sent <- content
	})
	for i := range maxLifts {
		require.True(t, lifter.Lift(Content(i)))
	}
	require.False(t, lifter.Lift(maxLifts))
	close(answer)
	for range maxLifts {
		<-sent
	}
	require.Eventually(t, func() bool { return lifter.Lift(maxLifts) }, 10*time.Second, time.Millisecond)
	require.Equal(t, Content(maxLifts), <-sent)
}
