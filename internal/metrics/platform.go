package metrics

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// Platform are the metrics of calls to the platform.
type Platform struct {
	calls    *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newPlatform(registry *prometheus.Registry) *Platform {
	p := &Platform{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "platform_calls_total",
			Help:      "Calls to the platform, a waiting watch counted as one.",
		}, []string{labelOperation, labelResult}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "platform_call_duration_seconds",
			Help:      "Time of calls to the platform without watches, in seconds.",
			Buckets:   durationBuckets,
		}, []string{labelOperation}),
	}
	registry.MustRegister(p.calls, p.duration)
	return p
}

// Count returns a store that counts the calls to another.
func (p *Platform) Count(store platform.Store) platform.Store {
	return &countedStore{store: store, metrics: p}
}

// countedStore counts the calls to a store.
type countedStore struct {
	store   platform.Store
	metrics *Platform
}

// Results of calls.
const (
	resultOK          = "ok"
	resultNotFound    = "not_found"
	resultConflict    = "conflict"
	resultTooLarge    = "too_large"
	resultUnavailable = "unavailable"
)

func resultOf(err error) string {
	var (
		missing  *platform.NotFoundError
		conflict *platform.ConflictError
		tooLarge *platform.TooLargeError
	)
	switch {
	case err == nil:
		return resultOK
	case errors.As(err, &missing):
		return resultNotFound
	case errors.As(err, &conflict):
		return resultConflict
	case errors.As(err, &tooLarge):
		return resultTooLarge
	}
	return resultUnavailable
}

func (s *countedStore) count(operation string, err error) {
	s.metrics.calls.WithLabelValues(operation, resultOf(err)).Inc()
}

func (s *countedStore) time(operation string, start time.Time, err error) {
	s.metrics.duration.WithLabelValues(operation).Observe(time.Since(start).Seconds())
	s.count(operation, err)
}

// Get implements platform.Store.
func (s *countedStore) Get(key string) (platform.Object, error) {
	start := time.Now()
	object, err := s.store.Get(key)
	s.time("get", start, err)
	return object, err
}

// Create implements platform.Store.
func (s *countedStore) Create(key string, value []byte) (platform.Version, error) {
	start := time.Now()
	version, err := s.store.Create(key, value)
	s.time("create", start, err)
	return version, err
}

// Update implements platform.Store.
func (s *countedStore) Update(key string, version platform.Version, value []byte) (platform.Version, error) {
	start := time.Now()
	next, err := s.store.Update(key, version, value)
	s.time("update", start, err)
	return next, err
}

// Delete implements platform.Store.
func (s *countedStore) Delete(key string, version platform.Version) error {
	start := time.Now()
	err := s.store.Delete(key, version)
	s.time("delete", start, err)
	return err
}

// Watch implements platform.Store.
func (s *countedStore) Watch(key string, after platform.Version, wait time.Duration) (platform.Object, error) {
	object, err := s.store.Watch(key, after, wait)
	s.count("watch", err)
	return object, err
}

// VMs implements platform.Store.
func (s *countedStore) VMs(after platform.Version, wait time.Duration) (platform.VMList, error) {
	list, err := s.store.VMs(after, wait)
	s.count("vms", err)
	return list, err
}
