package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const otherDaemons = 3

func vote(candidate string, round uint64) VoteRequest {
	return VoteRequest{Candidate: candidate, Incarnation: 1, Round: round}
}

// Guards against two votes of one daemon at a time: it doesn't know whom it voted for before it
// was restarted.
func TestRestartedVoterDoesNotVoteUntilItsEarlierVoteHasEnded(t *testing.T) {
	start := time.Hour
	v := newVoter(start)
	require.False(t, v.handle(start+leaseDuration-time.Millisecond, vote("a", 1), otherDaemons).Granted)
	require.True(t, v.handle(start+leaseDuration, vote("a", 2), otherDaemons).Granted)
}

// Guards against a second owner while the vote for the first one is valid.
func TestVoterVotesForOneCandidateAtATime(t *testing.T) {
	start := time.Hour
	v := newVoter(start)
	voted := start + time.Minute
	require.True(t, v.handle(voted, vote("a", 1), otherDaemons).Granted)
	refused := v.handle(voted+leaseDuration-time.Millisecond, vote("b", 1), otherDaemons)
	require.Equal(t, VoteReply{Holder: "a", LeftMillis: 1, Known: otherDaemons}, refused)
	granted := v.handle(voted+leaseDuration+time.Second, vote("b", 2), otherDaemons)
	require.Equal(t, VoteReply{Granted: true, FreeMillis: 1000, Known: otherDaemons}, granted)
}

// Guards against a lease that lasts longer than the votes for it, because their replies were late.
func TestLeaseIsCountedFromTheRequestForVotes(t *testing.T) {
	n := NewNode(time.Hour, Options{Self: "a", Bound: testBound, Random: func() float64 { return 0 }})
	n.SetMembers([]string{"a", "b", "c"}, true)
	asked := time.Hour + time.Minute
	n.HandleAsk(asked, Ask{})
	replied := asked + roundTimeout/2
	n.VoteReplied(replied, n.election.number, "b", VoteReply{Granted: true})
	require.True(t, n.IsOwner(replied))
	require.False(t, n.IsOwner(asked+leaseDuration))
}

// Guards against a daemon that is cut off and keeps asking all others for their votes.
func TestCandidateThatReachesNobodyAsksLessAndLess(t *testing.T) {
	n := newNetwork(13, 30, usual)
	n.loadAll(n.vms[:1], usualLoad, time.Minute)
	n.cut = func(_, _ *vm) bool { return true }
	n.runUntil(10 * time.Second)
	before := n.vms[0].node.Counts().Votes
	n.runUntil(40 * time.Second)
	rounds := float64(n.vms[0].node.Counts().Votes-before) / float64(len(n.vms)-1)
	require.LessOrEqual(t, rounds, 30/maxUnreachedBackoff.Seconds()+1)
}

// Guards against a release that arrives late and ends a vote that was renewed since.
func TestLateReleaseDoesNotEndLaterVote(t *testing.T) {
	start := time.Hour
	v := newVoter(start)
	voted := start + time.Minute
	require.True(t, v.handle(voted, vote("a", 5), otherDaemons).Granted)
	v.release(voted, Release{Candidate: "a", Incarnation: 1, Round: 4})
	require.False(t, v.handle(voted, vote("b", 1), otherDaemons).Granted)
	v.release(voted, Release{Candidate: "a", Incarnation: 1, Round: 5})
	require.False(t, v.handle(voted, vote("a", 5), otherDaemons).Granted, "a request of a released round")
	require.True(t, v.handle(voted, vote("b", 2), otherDaemons).Granted)
}
