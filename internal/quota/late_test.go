package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While a workspace asks for more than its quota, requests that are late already must leave the permits
// to those that can be in time; otherwise they must not be rejected for being late.
func TestLateRequestsAreRejectedOnlyWhileTheQuotaIsShort(t *testing.T) {
	n, now, message := askedNode(t, 3)
	_, rejected := n.RejectLate(now, "w")
	require.False(t, rejected)
	n.AskReplied(now, message.ID, AskReply{Owner: true, Granted: []int{0}})
	verdict, rejected := n.RejectLate(now, "w")
	require.True(t, rejected)
	require.Equal(t, Rejected, verdict.Outcome)
	require.GreaterOrEqual(t, verdict.RetryAfter, minRetryAfter)
	_, rejected = n.RejectLate(now, "other")
	require.False(t, rejected)
	_, rejected = n.RejectLate(now+shortPeriod+time.Millisecond, "w")
	require.False(t, rejected)
}
