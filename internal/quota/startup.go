package quota

import "time"

// When all daemons start at the same time there is no owner for about a second, and the requests of all
// workspaces with a quota would wait. Until a daemon has found the owner it admits its share of each quota
// without permits, and reports them to the owner, who takes them from the bucket.

// startupLimit is the time at the share of the rate that a daemon may use without an owner. It covers the
// first election of a deployment.
const startupLimit = 1500 * time.Millisecond

// startupUse is what a daemon has admitted of a workspace before it found the owner.
type startupUse struct {
	admitted int
	// unreported are those that the owner doesn't know of yet.
	unreported int
}

// admitsAtStart reports whether a request is admitted since the daemon has started and hasn't found the
// owner yet, and counts it.
func (n *Node) admitsAtStart(now time.Duration, a *account) bool {
	age := now - n.asker.startedAt
	if n.asker.ownerFound || age >= startupPeriod {
		return false
	}
	allowed := n.options.StartupShare * a.limit.Rate * min(age, startupLimit).Seconds()
	if float64(a.startup.admitted+1) > allowed {
		return false
	}
	a.startup.admitted++
	a.startup.unreported++
	return true
}
