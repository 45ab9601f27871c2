package quarantine

import (
	"time"
)

// retryQueue holds the requests that were at one target when it died and wait for their
// retry. It retries one content at a time, so that another death identifies the cause.
type retryQueue struct {
	target    string
	createdAt time.Time
	// current is the content that is being retried while inTurn is set, until turnEnd
	// at the latest.
	current Content
	inTurn  bool
	turnEnd time.Time
	// contents are all contents that were queued here, retried ones included.
	contents map[Content]bool
	waiting  []*FailedRequest
}

// QueueRetry records that a request ended by the death of its target and queues its
// retry, or forbids it if the content is now quarantined. It returns the suspect to
// announce to other daemons, and the retries that are decided.
func (t *Tracker) QueueRetry(now time.Time, failed *FailedRequest) (Suspect, []RetryDecision) {
	suspect := t.RecordDeath(now, failed)
	var decisions []RetryDecision
	if suspect.Quarantined {
		decisions = t.releaseQueuesOf(failed.Content)
		return suspect, append(decisions, RetryDecision{FailedRequest: failed, Allowed: false})
	}
	queue := t.queueFor(now, failed.Target)
	queue.contents[failed.Content] = true
	queue.waiting = append(queue.waiting, failed)
	return suspect, t.nextTurn(now, queue)
}

// RetryDecision says whether a request may be retried.
type RetryDecision struct {
	FailedRequest *FailedRequest
	Allowed       bool
}

// queueFor returns the retry queue of a target that is younger than queueWindow. If there
// is none, it adds one.
func (t *Tracker) queueFor(now time.Time, target string) *retryQueue {
	for _, queue := range t.queues {
		if queue.target == target && now.Sub(queue.createdAt) < queueWindow {
			return queue
		}
	}
	queue := &retryQueue{target: target, createdAt: now, contents: map[Content]bool{}}
	t.queues = append(t.queues, queue)
	return queue
}

// nextTurn starts the retry of the first waiting content unless one is in progress.
// Requests with the same content are retried together.
func (t *Tracker) nextTurn(now time.Time, queue *retryQueue) []RetryDecision {
	if len(queue.waiting) == 0 {
		return nil
	}
	if !queue.inTurn {
		queue.inTurn = true
		queue.current = queue.waiting[0].Content
		queue.turnEnd = now.Add(turnTimeout)
	}
	var decisions []RetryDecision
	var left []*FailedRequest
	for _, failed := range queue.waiting {
		switch {
		case t.Quarantined(now, failed.Content):
			decisions = append(decisions, RetryDecision{FailedRequest: failed, Allowed: false})
		case failed.Content == queue.current:
			decisions = append(decisions, RetryDecision{FailedRequest: failed, Allowed: true})
		default:
			left = append(left, failed)
		}
	}
	queue.waiting = left
	if t.Quarantined(now, queue.current) {
		queue.inTurn = false
		return append(decisions, t.nextTurn(now, queue)...)
	}
	return decisions
}

// RecordEnd records the end of a request. If a target answered it, its content is
// cleared of suspicion. RecordEnd returns whether a suspect was cleared, and the retries
// that are decided.
func (t *Tracker) RecordEnd(now time.Time, content Content, answered bool) (bool, []RetryDecision) {
	cleared := answered && t.suspects[content] != nil && t.Lift(now, content)
	var decisions []RetryDecision
	for _, queue := range t.queues {
		decisions = append(decisions, t.endTurn(now, queue, content)...)
	}
	return cleared, decisions
}

// endTurn ends the retry turn of content, if it has the turn, and starts the next one.
func (t *Tracker) endTurn(now time.Time, queue *retryQueue, content Content) []RetryDecision {
	if !queue.inTurn || queue.current != content {
		return nil
	}
	queue.inTurn = false
	return t.nextTurn(now, queue)
}

// releaseQueuesOf removes the retry queues in which content took part: with content
// quarantined, the deaths are explained. It allows all other requests that wait there.
func (t *Tracker) releaseQueuesOf(content Content) []RetryDecision {
	var decisions []RetryDecision
	var left []*retryQueue
	for _, queue := range t.queues {
		if !queue.contents[content] {
			left = append(left, queue)
			continue
		}
		for _, failed := range queue.waiting {
			decisions = append(decisions, RetryDecision{FailedRequest: failed, Allowed: failed.Content != content})
		}
	}
	t.queues = left
	return decisions
}
