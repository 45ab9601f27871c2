// Package bytebudget keeps the account of the bytes that a process holds for callers and targets,
// by kind, against one limit.
//
// Whoever holds bytes adds them when they are allocated and subtracts them when they are dropped.
// Above the limit the budget notifies one function, which makes holders give way. A budget never
// refuses an Add, since the bytes are then already held: between a notification and its effect the
// total may exceed the limit, and the limit must leave room for that.
package bytebudget

import "sync/atomic"

// Kind is what bytes are held for.
type Kind int

// Kinds of bytes.
const (
	// Arriving are the bodies of requests that have arrived in part.
	Arriving Kind = iota
	// Bodies are the large bodies of complete requests.
	Bodies
	// Requests are complete requests without large bodies: headers, small bodies and the state
	// of their processing.
	Requests
	// Input is what callers have sent that wasn't read yet, such as pipelined requests.
	Input
	// Connections are the states of callers' connections.
	Connections
	// Responses are incomplete responses of targets.
	Responses
	// Output are responses that callers, and requests that targets, have not yet received.
	Output
	kinds
)

var names = [kinds]string{"arriving", "bodies", "requests", "input", "connections", "responses", "output"}

// String returns the name of the kind in metrics.
func (k Kind) String() string { return names[k] }

const (
	// reserveDivisor gives the reserve above the limit that small holders may use before they
	// have to give way as well: the limit divided by it.
	reserveDivisor = 8
	// lowWaterDivisor gives the part of the limit that is freed at once, so that not every
	// further byte causes a new search for holders.
	lowWaterDivisor = 8
)

// Budget is an account of bytes. It is safe for concurrent use. The methods of a nil Budget do
// nothing and report plenty.
type Budget struct {
	// limit is the limit of total, 0 for none.
	limit int64
	total atomic.Int64
	held  [kinds]atomic.Int64
	// onShort is nil if nobody is notified.
	onShort atomic.Pointer[func()]
	// notified is set from a notification until Rearm.
	notified atomic.Bool
}

// New returns a budget of limit bytes. 0 means unlimited.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// OnShort sets the function that is called when the total exceeds the limit. It is called from any
// goroutine, must not block, and is called again only after Rearm.
func (b *Budget) OnShort(f func()) { b.onShort.Store(&f) }

// Add adds bytes, or subtracts them if bytes is negative.
func (b *Budget) Add(kind Kind, bytes int64) {
	if b == nil || bytes == 0 {
		return
	}
	b.held[kind].Add(bytes)
	b.total.Add(bytes)
	if bytes > 0 && b.Short() {
		b.notify()
	}
}

// Move changes the kind of bytes that are held.
func (b *Budget) Move(from, to Kind, bytes int64) {
	if b == nil {
		return
	}
	b.held[from].Add(-bytes)
	b.held[to].Add(bytes)
}

func (b *Budget) notify() {
	if f := b.onShort.Load(); f != nil && !b.notified.Swap(true) {
		(*f)()
	}
}

// Rearm lets the next shortage be notified, at once if there is one.
func (b *Budget) Rearm() {
	b.notified.Store(false)
	if b.Short() {
		b.notify()
	}
}

// Short reports whether the total exceeds the limit: the largest holders have to give way.
func (b *Budget) Short() bool { return b != nil && b.limit > 0 && b.total.Load() > b.limit }

// Exhausted reports whether the total exceeds the limit and its reserve: small holders have to give
// way, too, and no more requests may be started.
func (b *Budget) Exhausted() bool {
	return b != nil && b.limit > 0 && b.total.Load() > b.limit+b.limit/reserveDivisor
}

// Excess returns the number of bytes that have to be freed after a shortage, or 0.
func (b *Budget) Excess() int64 {
	if b == nil || b.limit == 0 {
		return 0
	}
	return max(b.total.Load()-(b.limit-b.limit/lowWaterDivisor), 0)
}

// Limit returns the limit, 0 for none.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the bytes held by kind.
func (b *Budget) Held() map[string]int64 {
	held := make(map[string]int64, kinds)
	for kind := range kinds {
		held[kind.String()] = b.held[kind].Load()
	}
	return held
}
