package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After a restart of all daemons requests must not wait for the election of an owner, who must learn what
// was admitted before.
func TestRequestsBeforeTheFirstOwnerAreAdmittedByAShare(t *testing.T) {
	limit := Limit{Rate: 160, Burst: 160, Revision: 1}
	n := NewNode(time.Hour, Options{Self: "a", Bound: testBound, StartupShare: testStartupShare, Random: func() float64 { return 0 }})
	n.SetMembers([]string{"a", "b", "c"}, false)
	n.asker.locator.found("b")
	now := time.Hour + time.Second
	admitted := 0
	for range 100 {
		if verdict, _ := n.Admit(now, "w", limit, nil); verdict.Outcome == Admitted {
			admitted++
		}
	}
	require.Equal(t, int(limit.Rate*testStartupShare), admitted)
	messages := n.TakeOutput().Messages
	require.Len(t, messages, 1)
	require.Equal(t, 1, messages[0].Ask.Items[0].Used)

	n.AskReplied(now, messages[0].ID, AskReply{Owner: true, Granted: []int{0}})
	reports := n.TakeOutput().Messages
	require.Len(t, reports, 1)
	require.Equal(t, admitted-1, reports[0].Ask.Items[0].Used, "the rest is reported with the next question")
	n.AskReplied(now, reports[0].ID, AskReply{Owner: true, Granted: []int{0}})
	require.Zero(t, n.asker.accounts["w"].startup.unreported)
}

// What was admitted without permits must be missing in the owner's bucket.
func TestOwnerTakesWhatWasAdmittedAtTheStart(t *testing.T) {
	b := buckets{bound: testBound, byWorkspace: map[string]*bucket{}}
	item := AskItem{Workspace: "w", Count: 100, Rate: 100, Burst: 100, Revision: 1, Used: 60}
	require.LessOrEqual(t, b.grant(time.Second, item), 40+int(testBound.initial()))
	item.Used = 0
	require.Zero(t, b.grant(time.Second, item))
}
