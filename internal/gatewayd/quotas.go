package gatewayd

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/monotonic"
	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/quota"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

const (
	// minQuotaTick is the shortest time between two ticks of the timer.
	minQuotaTick = time.Millisecond
	// quotaLogInterval and quotaLogBurst limit the log lines about owners and fallbacks.
	quotaLogInterval = 2 * time.Second
	quotaLogBurst    = 20
	// quotaStartupDaemons is the number of daemons of a zone that divide its part of the quotas while
	// they start. Callers go to one to three of a zone.
	quotaStartupDaemons = 2
)

// quotas runs the quotas of workspaces: it passes messages, times and requests to their state
// machine and carries out what it returns. It implements gateway.Quotas.
type quotas struct {
	log     logrus.FieldLogger
	client  *peer.Client
	limiter *rate.Limiter
	members quotaMembers
	votes   voteCalls

	mu   sync.Mutex
	node *quota.Node
	// timer calls tick at tickAt, a time since boot.
	timer  *time.Timer
	tickAt time.Duration
}

var _ gateway.Quotas = (*quotas)(nil)

// startQuotas starts to enforce the quotas of workspaces if the settings have a window for them.
func (d *Daemon) startQuotas(client *peer.Client, server *peer.Server) {
	bound := quota.Bound{Window: d.settings.QuotaWindow, Overage: d.settings.QuotaOverage, Slack: d.settings.QuotaSlack}
	if bound.Window <= 0 {
		return
	}
	q := &quotas{
		log:     d.log,
		client:  client,
		limiter: rate.NewLimiter(rate.Every(quotaLogInterval), quotaLogBurst),
		members: newQuotaMembers(d.settings.Name, d.settings.PeerAddress),
		votes:   voteCalls{byAddress: map[string]*quota.Release{}},
	}
	q.node = quota.NewNode(monotonic.SinceBoot(), quota.Options{
		Self:        d.settings.PeerAddress,
		Incarnation: uint64(d.started.UnixNano()),
		Bound:       bound,
		Random:      rand.Float64,

		StartupShare: 1 / (quotaStartupDaemons * float64(max(len(d.settings.Zones), 1))),
	})
	q.timer = time.AfterFunc(time.Hour, q.tick)
	server.Register(peer.MethodQuotaAsk, q.serveAsk)
	server.Register(peer.MethodQuotaVote, q.serveVote)
	server.Register(peer.MethodQuotaRelease, q.serveRelease)
	d.gateway.SetQuotas(q)
	d.quotas = q
	go d.followQuotaMembers()
}

// RejectLate implements gateway.Quotas.
func (q *quotas) RejectLate(workspace *route.Workspace) (verdict quota.Verdict, rejected bool) {
	q.update(func(now time.Duration) {
		verdict, rejected = q.node.RejectLate(now, workspace.Name)
	})
	return verdict, rejected
}

// Admit implements gateway.Quotas.
func (q *quotas) Admit(workspace *route.Workspace, revision uint64, decided func(quota.Verdict)) (verdict quota.Verdict, waiter *quota.Waiter) {
	limit := quota.Limit{Rate: workspace.Quota.Rate, Burst: workspace.Quota.Burst, Revision: revision}
	q.update(func(now time.Duration) {
		verdict, waiter = q.node.Admit(now, workspace.Name, limit, decided)
	})
	return verdict, waiter
}

// Cancel implements gateway.Quotas.
func (q *quotas) Cancel(waiter *quota.Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.Cancel(waiter)
}

// Return implements gateway.Quotas.
func (q *quotas) Return(permit quota.Permit) {
	q.update(func(now time.Duration) { q.node.Return(now, permit) })
}

// resign hands the ownership over before the daemon ends.
func (q *quotas) resign() { q.update(q.node.Resign) }

func (q *quotas) tick() {
	q.update(func(now time.Duration) {
		q.tickAt = 0
		q.node.Tick(now)
	})
}

// update passes an input to the state machine and carries out its output.
func (q *quotas) update(input func(now time.Duration)) {
	q.mu.Lock()
	now := monotonic.SinceBoot()
	input(now)
	output := q.node.TakeOutput()
	q.schedule(now)
	q.mu.Unlock()
	for _, message := range output.Messages {
		go q.send(message)
	}
	for _, decision := range output.Decisions {
		decision.Waiter.Payload.(func(quota.Verdict))(decision.Verdict)
	}
	for _, event := range output.Events {
		q.logEvent(event)
	}
}

// schedule sets the timer to the next tick, unless it already fires by then.
func (q *quotas) schedule(now time.Duration) {
	next, due := q.node.NextTick(now)
	if !due || q.tickAt != 0 && q.tickAt <= next {
		return
	}
	q.tickAt = max(next, now+minQuotaTick)
	q.timer.Reset(q.tickAt - now)
}

// logEvent logs a change of the owner or of the fallback.
func (q *quotas) logEvent(event quota.Event) {
	if !q.limiter.Allow() {
		return
	}
	switch event {
	case quota.BecameOwner:
		q.log.Info("became the owner of the quotas")
	case quota.LostOwnership:
		q.log.Info("no longer the owner of the quotas")
	case quota.FallbackBegan:
		q.log.Warn("no owner of the quotas responds; admitting only this daemon's fallback share")
	case quota.FallbackEnded:
		q.log.Info("an owner of the quotas responds again, or there are no requests")
	}
}

// quotaState is a snapshot of the quotas.
type quotaState struct {
	Counts quota.Counts
	Owner  bool
}

func (q *quotas) state() quotaState {
	q.mu.Lock()
	defer q.mu.Unlock()
	return quotaState{Counts: q.node.Counts(), Owner: q.node.IsOwner(monotonic.SinceBoot())}
}
