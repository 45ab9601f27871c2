package feed

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// pingInterval is the pause between two pings while the store responds.
	pingInterval = 1200 * time.Millisecond
	// outagePingInterval is the pause between two pings while the store is unavailable.
	// A daemon that no caller depends on waits for longOutagePingInterval instead,
	// because refused calls are charged, too.
	outagePingInterval     = 400 * time.Millisecond
	longOutagePingInterval = 1500 * time.Millisecond
)

// Monitor detects outages of the store by pings. The monitor aborts all calls when the store
// responds again, since they may hang; they are then made anew.
type Monitor struct {
	store Store
	// needed reports whether callers depend on the data that this daemon reads.
	needed func() bool
	// onLost is called when an outage begins.
	onLost func()
	log    logrus.FieldLogger

	mu          sync.Mutex
	unavailable bool
	// recovered is closed when the store responds again, and then replaced.
	recovered chan struct{}
	// pingRequested holds a request for a ping without further delay.
	pingRequested chan struct{}
}

// NewMonitor returns a monitor; Run starts it. Needed reports whether callers depend on
// the data that this daemon reads. While they don't, the monitor pings only after a
// failed call.
func NewMonitor(store Store, needed func() bool, log logrus.FieldLogger) *Monitor {
	m := &Monitor{store: store, needed: needed, onLost: func() {}, log: log, recovered: make(chan struct{}), pingRequested: make(chan struct{}, 1)}
	store.OnRestored(m.markRestored)
	return m
}

// OnLost sets the function that is called when an outage begins. It must be called
// before Run.
func (m *Monitor) OnLost(f func()) { m.onLost = f }

// Run pings the store and doesn't return.
func (m *Monitor) Run() {
	for {
		if err := m.store.Ping(); err != nil {
			m.markUnavailable(err)
			time.Sleep(m.outagePause())
			continue
		}
		m.markAvailable()
		m.waitForNextPing()
	}
}

// waitForNextPing waits until the next ping of a store that responds is due.
func (m *Monitor) waitForNextPing() {
	for {
		select {
		case <-m.pingRequested:
			return
		case <-time.After(pingInterval):
		}
		if m.needed() {
			return
		}
	}
}

// outagePause is the pause between two pings while the store is unavailable.
func (m *Monitor) outagePause() time.Duration {
	if m.needed() {
		return outagePingInterval
	}
	return longOutagePingInterval
}

// requestPing makes a store that responds be pinged without further delay.
func (m *Monitor) requestPing() {
	select {
	case m.pingRequested <- struct{}{}:
	default:
	}
}

// Unavailable reports whether the store is known not to respond.
func (m *Monitor) Unavailable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unavailable
}

func (m *Monitor) markUnavailable(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return
	}
	m.unavailable = true
	m.log.WithError(err).Warn("store lost")
	m.onLost()
}

func (m *Monitor) markAvailable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unavailable {
		return
	}
	m.unavailable = false
	select {
	case <-m.pingRequested:
	default:
	}
	m.log.Info("store regained")
	m.store.Abort()
	close(m.recovered)
	m.recovered = make(chan struct{})
}

// markRestored is called when the store was restored from an older copy.
func (m *Monitor) markRestored(previous, current uint64) {
	m.log.WithField("previous_epoch", previous).WithField("epoch", current).Warn("store restored from an older copy")
}

// waitToRetry waits before a failed call is retried, until the store recovers or the
// limit has passed. During an outage the limit is maxOutageWait.
func (m *Monitor) waitToRetry(limit time.Duration) {
	m.mu.Lock()
	recovered, unavailable := m.recovered, m.unavailable
	m.mu.Unlock()
	if unavailable {
		limit = maxOutageWait
	}
	select {
	case <-recovered:
	case <-time.After(limit):
	}
}

// maxOutageWait bounds the wait for the recovery of the store before a retry.
const maxOutageWait = 10 * time.Second
