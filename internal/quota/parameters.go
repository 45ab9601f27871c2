package quota

import "time"

// Timing of the lease and of the permits.
const (
	// leaseDuration is how long a vote binds a daemon. It bounds the time without an owner after
	// the owner was killed.
	leaseDuration = 1000 * time.Millisecond
	// leaseMargin is how much earlier than the votes the lease ends at the owner, which covers
	// clocks that run at different speeds.
	leaseMargin = 50 * time.Millisecond
	// renewInterval leaves two more tries before the lease ends.
	renewInterval = 350 * time.Millisecond
	// roundTimeout is how long a candidate waits for votes, connections to open included.
	roundTimeout = 250 * time.Millisecond
	// settleTime is how long a candidate with enough votes waits for a veto. It is several times
	// the time of a message and its reply between zones.
	settleTime = 30 * time.Millisecond
	// minBackoff is the shortest pause after a failed election, spread by up to backoffSpread, so
	// that candidates that split the votes don't split them again. The pause lasts until the votes
	// for another daemon end, if that is at most maxLeft. Votes that end later may be those for a
	// rival, who gives them back, or for an owner that renews them; the pause is then maxBackoff.
	minBackoff    = 20 * time.Millisecond
	maxBackoff    = 250 * time.Millisecond
	maxLeft       = 700 * time.Millisecond
	backoffSpread = 60 * time.Millisecond
	// maxUnreachedBackoff bounds the pause, which doubles while no majority replies, up to
	// maxUnreached times. A daemon that is cut off would otherwise keep opening connections to all
	// others.
	maxUnreachedBackoff = 2 * time.Second
	maxUnreached        = 3
	// candidateFor is how long after the last question a daemon tries to become the owner.
	candidateFor = time.Second
	// ownerIdle is the time without a question after which the owner gives up its lease, so that
	// nothing is sent while no requests arrive.
	ownerIdle = 10 * time.Second
)

// Timing of the questions for permits.
const (
	// stockTime is the time for which permits are kept in stock at the recent demand. A question
	// is sent when half of them are spent, which makes about 16 questions per second.
	stockTime = 120 * time.Millisecond
	// minStock is the smallest stock. A smaller one often expires unused, which made up to 2 % of
	// the requests of a workspace with 3 requests per second fail.
	minStock = 3
	// demandTime is the time constant of the estimated demand.
	demandTime = 300 * time.Millisecond
	// asksPerSecond and askBurst limit the questions of a daemon.
	asksPerSecond = 20
	askBurst      = 5
	// askTimeout is the time after which a daemon that doesn't answer a question is suspected.
	askTimeout = 200 * time.Millisecond
	// suspectedFor is how long a suspected daemon isn't chosen as a candidate. A daemon that
	// others name as the owner is asked again after hintSuspectedFor, since a wrong suspicion
	// costs permits.
	suspectedFor     = 3 * time.Second
	hintSuspectedFor = 300 * time.Millisecond
	// rememberAsk is how long the reply to a question still tells who the owner is.
	rememberAsk = time.Second
	// maxAskItems bounds the workspaces of a question, and thereby its size.
	maxAskItems = 200
	// electionPause is the pause before a candidate is asked again. After candidateLimit without
	// success another candidate is asked; it outlasts the lease of an owner that was killed.
	electionPause  = 40 * time.Millisecond
	candidateLimit = 1800 * time.Millisecond
	// deniedPause is the pause before the owner is asked again for a workspace whose bucket was
	// empty.
	deniedPause = 50 * time.Millisecond
	// shortPeriod is the time after a refusal by the owner in which a workspace counts as asking for
	// more than its quota.
	shortPeriod = time.Second
	// maxWait bounds the wait of a request for a permit. It covers a question that has to be
	// repeated at another daemon.
	maxWait = 250 * time.Millisecond
	// ownerlessWait bounds the wait while the owner is silent. It covers most of the time until
	// the owner is replaced: a late response is better than a rejection.
	ownerlessWait = 600 * time.Millisecond
	// recoveryPeriod is the time after such a silence in which requests may still wait as long.
	recoveryPeriod = time.Second
	// detachedAfter is the time without an answer of an owner after which no replacement is
	// expected soon. Requests then wait only for detachedWait.
	detachedAfter = 1600 * time.Millisecond
	detachedWait  = 60 * time.Millisecond
	// startupPeriod is the time after the start in which requests wait up to startupWait: the
	// daemon may not know the others yet, and daemons that start together can't vote yet.
	startupPeriod = 3 * time.Second
	startupWait   = 1500 * time.Millisecond
	// forgetAfter is the time after which an unused account is forgotten.
	forgetAfter = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a rejected caller should
	// return. It is spread evenly between them.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// Parts of the allowed excess over the quota. They add up to less than all of it; see "The bound"
// in docs/design/quotas.md.
const (
	// lifetimeFraction is the part of the overage that permits use which were granted before a
	// window and are spent in it.
	lifetimeFraction = 0.4
	// minLifetime keeps permits usable if the overage is very small.
	minLifetime = 50 * time.Millisecond
	// maxLifetime bounds the lifetime of permits. Longer ones bring nothing.
	maxLifetime = 200 * time.Millisecond
	// batchFraction is the part of the overage by which the capacity of a bucket may exceed the
	// burst, since a bucket without a burst could grant no batch.
	batchFraction = 0.1
	// fallbackOverage and fallbackSlack are the parts of the overage and of the slack that the
	// daemons without an owner share.
	fallbackOverage = 0.1
	fallbackSlack   = 0.4
	// handoverSlack is the part of the slack with which the bucket of a new owner starts. The
	// lease allows at most six new owners in a window.
	handoverSlack = 0.08
)

// Bound is the requirement: in every window at most (rate x Window + burst) x (1 + Overage) + Slack
// requests of a workspace.
type Bound struct {
	Window         time.Duration
	Overage, Slack float64
}

// lifetime returns how long a permit is valid after the question for it was sent.
func (b Bound) lifetime() time.Duration {
	allowed := time.Duration(lifetimeFraction * b.Overage * float64(b.Window))
	return min(max(allowed, minLifetime), maxLifetime)
}

// capacity returns the capacity of a workspace's bucket.
func (b Bound) capacity(limit Limit) float64 {
	return max(limit.Burst, 1+batchFraction*b.Overage*b.Window.Seconds()*limit.Rate)
}

// fallback returns how many requests of a workspace daemons without an owner may admit in a
// window, all together.
func (b Bound) fallback(limit Limit) int {
	quota := limit.Rate*b.Window.Seconds() + limit.Burst
	return int(fallbackSlack*b.Slack + fallbackOverage*b.Overage*quota)
}

// initial returns the tokens with which the bucket of a new owner starts.
func (b Bound) initial() float64 { return handoverSlack * b.Slack }

// Limit is the quota of a workspace in a version of the configuration.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
	// Revision is that of the configuration. The limit of the highest revision applies.
	Revision uint64
}
