package gatewayd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/quota"
)

// send sends one message and passes its reply to the state machine, which handles missing and late
// replies. The time limit is longer than its own, so that a connection that is slow to open is open
// for the next message.
func (q *quotas) send(message quota.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	switch {
	case message.Ask != nil:
		q.sendAsk(ctx, message)
	case message.Vote != nil:
		q.sendVote(ctx, message)
	case message.Release != nil:
		q.sendRelease(ctx, message.To, message.Release)
	}
}

// sendRelease gives back a vote, after the end of a request for it that is under way.
func (q *quotas) sendRelease(ctx context.Context, address string, release *quota.Release) {
	if q.votes.postpone(address, release) {
		return
	}
	// A release that is lost delays the next owner until the vote ends.
	_ = q.client.Notify(ctx, address, peer.MethodQuotaRelease, release)
}

func (q *quotas) sendAsk(ctx context.Context, message quota.Message) {
	var reply quota.AskReply
	err := q.client.Call(ctx, message.To, peer.MethodQuotaAsk, message.Ask, &reply)
	q.update(func(now time.Duration) {
		if err != nil {
			q.node.AskFailed(now, message.ID)
			return
		}
		q.node.AskReplied(now, message.ID, reply)
	})
}

func (q *quotas) sendVote(ctx context.Context, message quota.Message) {
	if !q.votes.begin(message.To) {
		return
	}
	var reply quota.VoteReply
	err := q.client.Call(ctx, message.To, peer.MethodQuotaVote, message.Vote, &reply)
	if release := q.votes.end(message.To); release != nil {
		q.sendRelease(ctx, message.To, release)
	}
	if err != nil {
		// A daemon that doesn't reply hasn't voted, as far as this one knows.
		return
	}
	q.update(func(now time.Duration) { q.node.VoteReplied(now, message.Vote.Round, message.To, reply) })
}

func (q *quotas) serveAsk(_ context.Context, params json.RawMessage) (any, error) {
	var ask quota.Ask
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, err
	}
	var reply quota.AskReply
	q.update(func(now time.Duration) { reply = q.node.HandleAsk(now, ask) })
	return reply, nil
}

func (q *quotas) serveVote(_ context.Context, params json.RawMessage) (any, error) {
	var request quota.VoteRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	var reply quota.VoteReply
	q.update(func(now time.Duration) { reply = q.node.HandleVote(now, request) })
	return reply, nil
}

func (q *quotas) serveRelease(_ context.Context, params json.RawMessage) (any, error) {
	var release quota.Release
	if err := json.Unmarshal(params, &release); err != nil {
		return nil, err
	}
	q.update(func(now time.Duration) { q.node.HandleRelease(now, release) })
	return struct{}{}, nil
}
