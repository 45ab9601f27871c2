package gatewayd

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/quota"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// quotaDaemons starts daemons of which only the quotas run, connected over loopback.
func quotaDaemons(t *testing.T, count int) []*Daemon {
	t.Helper()
	log := logging.Discard()
	var daemons []*Daemon
	var members []heartbeat.Member
	for i := range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		name, address := string(rune('a'+i)), listener.Addr().String()
		members = append(members, heartbeat.Member{Name: name, PeerAddress: address})
		node, err := heartbeat.Listen(heartbeat.Member{Name: name, PeerAddress: "127.0.0.1:0"}, 1, log)
		require.NoError(t, err)
		d := &Daemon{
			settings: Settings{Name: name, PeerAddress: address, QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20},
			log:      log,
			node:     node,
			started:  time.Now(),
			gateway:  gateway.New(gateway.Options{Dialect: noDialect{}}, log),
		}
		client, server := peer.NewClient([]byte("key")), peer.NewServer([]byte("key"), log)
		d.startQuotas(client, server)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() {
			d.stopping.Store(true)
			_ = listener.Close()
			server.Close()
			client.Close()
			node.Close()
		})
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		d.learnQuotaMembers(members)
	}
	return daemons
}

// noDialect is a dialect whose methods aren't called.
type noDialect struct{ gateway.Dialect }

// admit returns the decision on a request.
func (q *quotas) admit(w *route.Workspace) quota.Verdict {
	decided := make(chan quota.Verdict, 1)
	verdict, _ := q.Admit(w, 1, func(v quota.Verdict) { decided <- v })
	if verdict.Outcome == quota.Waiting {
		return <-decided
	}
	return verdict
}

// Guards against messages or timers that don't reach the state machines: three daemons find an
// owner, and together admit the quota and no more.
func TestDaemonsEnforceAQuotaTogether(t *testing.T) {
	daemons := quotaDaemons(t, 3)
	small := &route.Workspace{Name: "small", Quota: route.Quota{Rate: 1, Burst: 1}}
	require.Eventually(t, func() bool {
		return daemons[0].quotas.admit(small).Outcome == quota.Admitted
	}, eventuallyTimeout, 20*time.Millisecond)
	owners := 0
	for _, d := range daemons {
		if d.quotas.state().Owner {
			owners++
		}
	}
	require.Equal(t, 1, owners)
	limited := &route.Workspace{Name: "limited", Quota: route.Quota{Rate: 0.1, Burst: 30}}
	var admitted atomic.Int64
	var requests sync.WaitGroup
	for i := range 300 {
		requests.Go(func() {
			verdict := daemons[i%len(daemons)].quotas.admit(limited)
			if verdict.Outcome == quota.Admitted {
				admitted.Add(1)
			}
		})
	}
	requests.Wait()
	require.Positive(t, admitted.Load())
	require.LessOrEqual(t, admitted.Load(), int64(30+20))
}

// Guards against a daemon that enforces quotas without being told to.
func TestNoQuotasRunWithoutAWindow(t *testing.T) {
	d := &Daemon{}
	d.startQuotas(nil, nil)
	require.Nil(t, d.quotas)
}

// Guards against an incomplete list of daemons of which too few are a majority.
func TestListWithoutThisDaemonIsNotComplete(t *testing.T) {
	m := newQuotaMembers("a", "10.0.0.1:1")
	now := time.Now()
	m.add(now, []heartbeat.Member{{Name: "b", PeerAddress: "10.0.0.2:1"}}, true)
	_, complete := m.addresses()
	require.False(t, complete)
	m.add(now, []heartbeat.Member{{Name: "a", PeerAddress: "10.0.0.1:1"}}, false)
	_, complete = m.addresses()
	require.False(t, complete, "heartbeats are no list")
	m.add(now, []heartbeat.Member{{Name: "a", PeerAddress: "10.0.0.1:1"}}, true)
	addresses, complete := m.addresses()
	require.True(t, complete)
	require.Equal(t, []string{"10.0.0.1:1", "10.0.0.2:1"}, addresses)
	m.add(now.Add(2*unlistedPeriod), []heartbeat.Member{{Name: "a", PeerAddress: "10.0.0.1:1"}}, true)
	addresses, _ = m.addresses()
	require.Equal(t, []string{"10.0.0.1:1"}, addresses, "a daemon that isn't listed anymore")
}

// eventuallyTimeout is the maximum time to wait for a condition that has to become true.
const eventuallyTimeout = 20 * time.Second
