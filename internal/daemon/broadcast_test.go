package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/membership"
)

// Recipients answer at any time, also before the sender waits for them.
func TestRecipientsAnswerAtAnyTime(t *testing.T) {
	const count = 20
	for answers := range count + 1 {
		var members []membership.Member
		for i := range count {
			member := membership.Member{}
			member.Name = fmt.Sprint("entry-", i)
			members = append(members, member)
		}
		r := newRecipients(members)
		for _, member := range members[:answers] {
			r.reached(member.Name)
		}
		require.Len(t, r.await(time.Millisecond), count-answers)
	}
}

func TestBroadcastToNobodyDoesNotWait(t *testing.T) {
	require.Empty(t, newRecipients(nil).await(time.Hour))
}
