package quarantine

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In a storm of deaths, while daemons that are cut off hold up all messages, no announcement
// may be lost.
func TestBatcherLosesNoAnnouncementInAStorm(t *testing.T) {
	const announcements = 10 * maxMessages
	answer := make(chan struct{})
	var mu sync.Mutex
	sent := map[Content]bool{}
	b := NewBatcher(func(suspects []Suspect) Answers {
		<-answer
		mu.Lock()
		defer mu.Unlock()
		for _, suspect := range suspects {
			sent[suspect.Content] = true
		}
		return Answers{Complete: true}
	})
	done := make(chan Answers, announcements)
	for i := range announcements {
		b.Announce(Suspect{Content: Content(i)}, func(answers Answers) { done <- answers })
	}
	close(answer)
	for range announcements {
		select {
		case answers := <-done:
			require.True(t, answers.Complete)
		case <-time.After(10 * time.Second):
			require.Fail(t, "announcement not answered")
		}
	}
	require.Len(t, sent, announcements)
}
