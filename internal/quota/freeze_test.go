package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const freeze = 5 * time.Second

// askedNode returns a daemon with requests that wait, and its question, sent at the returned time.
func askedNode(t *testing.T, requests int) (*Node, time.Duration, Message) {
	t.Helper()
	now := time.Hour
	n := NewNode(now, Options{Self: "a", Bound: testBound, Random: func() float64 { return 0 }})
	n.SetMembers([]string{"a", "b", "c"}, false)
	// A daemon without a complete list doesn't ask itself again.
	n.asker.locator.found("b")
	now += testBound.Window
	for range requests {
		_, w := n.Admit(now, "w", Limit{Rate: 100, Burst: 100, Revision: 1}, nil)
		require.NotNil(t, w)
	}
	messages := n.TakeOutput().Messages
	require.Len(t, messages, 1)
	require.Equal(t, "b", messages[0].To)
	return n, now, messages[0]
}

// Guards against permits that a daemon got before it was frozen.
func TestPermitsFromBeforeAFreezeAreNotUsed(t *testing.T) {
	n, now, message := askedNode(t, 1)
	n.AskReplied(now, message.ID, AskReply{Owner: true, Granted: []int{3}})
	verdict, _ := n.Admit(now, "w", Limit{}, nil)
	require.Equal(t, Admitted, verdict.Outcome)
	verdict, _ = n.Admit(now+freeze, "w", Limit{}, nil)
	require.Equal(t, Waiting, verdict.Outcome)
}

// Guards against permits in a reply that was delayed by a freeze.
func TestReplyToQuestionFromBeforeAFreezeBringsNoPermits(t *testing.T) {
	n, now, message := askedNode(t, 1)
	n.AskReplied(now+freeze, message.ID, AskReply{Owner: true, Granted: []int{1}})
	for _, d := range n.TakeOutput().Decisions {
		require.NotEqual(t, Admitted, d.Verdict.Outcome)
	}
}

// Guards against a permit that is given back after it has expired.
func TestPermitReturnedAfterAFreezeIsNotUsed(t *testing.T) {
	n, now, message := askedNode(t, 1)
	n.AskReplied(now, message.ID, AskReply{Owner: true, Granted: []int{1}})
	decisions := n.TakeOutput().Decisions
	require.Len(t, decisions, 1)
	n.Return(now+freeze, decisions[0].Verdict.Permit)
	verdict, _ := n.Admit(now+freeze, "w", Limit{}, nil)
	require.Equal(t, Waiting, verdict.Outcome)
}

// Guards against an owner that renews its lease after it has ended: another daemon may have been
// the owner meanwhile, so the buckets must start anew.
func TestOwnerThatWasFrozenDoesNotKeepItsBuckets(t *testing.T) {
	now := time.Hour
	n := NewNode(now, Options{Self: "a", Bound: testBound, Random: func() float64 { return 0 }})
	n.SetMembers([]string{"a", "b", "c"}, true)
	ask := Ask{Items: []AskItem{{Workspace: "w", Count: 1, Rate: 100, Burst: 1000, Revision: 1}}}
	now += time.Minute
	require.False(t, n.HandleAsk(now, ask).Owner)
	n.VoteReplied(now, n.election.number, "b", VoteReply{Granted: true, FreeMillis: freeze.Milliseconds()})
	now += settleTime
	require.Equal(t, []int{1}, n.HandleAsk(now, ask).Granted)
	now += renewInterval
	n.Tick(now)
	now += freeze
	n.VoteReplied(now, n.election.number, "b", VoteReply{Granted: true})
	require.False(t, n.IsOwner(now))
	require.Nil(t, n.election.lease)
}
