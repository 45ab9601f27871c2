package callerserver

import (
	"maps"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// rejectionLinesPerSecond limits the log lines about rejected requests.
	rejectionLinesPerSecond = 5
	// rejectionBurst is the number of such lines that may be written at once.
	rejectionBurst = 20
)

// rejections counts and logs the requests that the server rejects before they reach the
// handler. Every rejection is counted; the log lines are rate-limited. It is safe for
// concurrent use.
type rejections struct {
	log     logrus.FieldLogger
	limiter *rate.Limiter

	mu sync.Mutex
	// counts holds the number of rejections by the reason of the ParseError.
	counts map[string]uint64
	// closes holds the number of connections that were closed to free memory, by reason.
	closes map[string]uint64
}

func newRejections(log logrus.FieldLogger) *rejections {
	return &rejections{
		log:     log,
		limiter: rate.NewLimiter(rejectionLinesPerSecond, rejectionBurst),
		counts:  map[string]uint64{},
		closes:  map[string]uint64{},
	}
}

// record counts a rejection by the limits that were in force, and logs it.
func (r *rejections) record(err *ParseError, callerIP string, limits *Limits) {
	r.mu.Lock()
	r.counts[err.Reason]++
	r.mu.Unlock()
	if !r.limiter.Allow() {
		return
	}
	r.log.WithFields(logrus.Fields{
		"caller":             callerIP,
		"status":             err.Status,
		"reason":             err.Reason,
		"header_bytes_limit": limits.HeaderBytes,
		"body_bytes_limit":   limits.BodyBytes,
	}).WithError(err).Warn("request rejected")
}

// recordClose counts a connection that is closed to free memory, and logs it.
func (r *rejections) recordClose(reason, callerIP string, held int) {
	r.mu.Lock()
	r.closes[reason]++
	r.mu.Unlock()
	if r.limiter.Allow() {
		r.log.WithFields(logrus.Fields{"caller": callerIP, "reason": reason, "held_bytes": held}).Warn("connection closed to free memory")
	}
}

// Closes returns the number of connections that the server has closed since its start to free
// memory, by reason. Those of incomplete requests are in Rejections instead.
func (s *Server) Closes() map[string]uint64 {
	s.rejections.mu.Lock()
	defer s.rejections.mu.Unlock()
	return maps.Clone(s.rejections.closes)
}

// Rejections returns the number of requests that the server has rejected since its start,
// by the reason of the ParseError.
func (s *Server) Rejections() map[string]uint64 {
	s.rejections.mu.Lock()
	defer s.rejections.mu.Unlock()
	return maps.Clone(s.rejections.counts)
}
