package feed

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// writeRetention is how long writes are remembered. The copies from which a store is
	// restored are some seconds old.
	writeRetention = 10 * time.Minute
	// rewriteSpread is the time over which the daemons spread their writes after a restore.
	rewriteSpread = time.Second
	// rewriteRetryInterval and rewriteAttempts bound the attempts to make a write again.
	rewriteRetryInterval = time.Second
	rewriteAttempts      = 60
)

// ObjectKey identifies an object of the store.
type ObjectKey struct{ Kind, Name string }

// write is the last write of the daemon to an object: a deletion if spec is nil.
type write struct {
	spec any
	at   time.Time
}

// WriteLog remembers the daemon's last write to each of its objects, so that writes which a
// restore of the store has lost can be made again. It is safe for concurrent use.
type WriteLog struct {
	mu     sync.Mutex
	writes map[ObjectKey]write
}

// NewWriteLog returns an empty log.
func NewWriteLog() *WriteLog { return &WriteLog{writes: map[ObjectKey]write{}} }

// Record records a write, and forgets old ones. A nil spec is a deletion.
func (l *WriteLog) Record(key ObjectKey, spec any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(l.writes, func(_ ObjectKey, w write) bool { return now.Sub(w.at) > writeRetention })
	l.writes[key] = write{spec: spec, at: now}
}

// all returns the remembered writes.
func (l *WriteLog) all() map[ObjectKey]write {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.writes)
}

// last returns the last write to an object, or false if it isn't remembered.
func (l *WriteLog) last(key ObjectKey) (write, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.writes[key]
	return w, ok
}

// isLast reports whether no later write to the object has been made.
func (l *WriteLog) isLast(key ObjectKey, w write) bool {
	last, ok := l.last(key)
	return ok && last.at.Equal(w.at)
}

// Rewriter makes the writes of a log again after a restore of the store.
type Rewriter struct {
	Writes *WriteLog
	// Apply puts an object, or deletes it if spec is nil.
	Apply func(key ObjectKey, spec any) error
	// Epoch returns the store's epoch.
	Epoch func() uint64
	Log   logrus.FieldLogger
}

// Rewrite makes the daemon's last writes again after a restore that began an epoch. A write that
// is in the store already changes nothing.
func (r *Rewriter) Rewrite(epoch uint64) {
	time.Sleep(rand.N(rewriteSpread))
	for key, w := range r.Writes.all() {
		r.rewriteObject(epoch, key, w)
	}
}

// rewriteObject makes one write again, unless a later one or a further restore takes its place. A
// later write that is made at the same time is made again, too, since the store may execute the
// two in either order.
func (r *Rewriter) rewriteObject(epoch uint64, key ObjectKey, w write) {
	log := r.Log.WithField("kind", key.Kind).WithField("object", key.Name).WithField("epoch", epoch)
	for range rewriteAttempts {
		if r.Epoch() != epoch || !r.Writes.isLast(key, w) {
			return
		}
		err := r.Apply(key, w.spec)
		if later, ok := r.Writes.last(key); ok && !later.at.Equal(w.at) {
			w = later
			continue
		}
		if err == nil {
			log.Info("object written again after a restore of the store")
			return
		}
		log.WithError(err).Info("failed to write an object again after a restore of the store; retrying")
		time.Sleep(rewriteRetryInterval)
	}
	log.Warn("object not written again after a restore of the store")
}
