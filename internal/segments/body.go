// Package segments holds a message body in segments that are allocated as its bytes arrive. A body
// is so held once: it is neither moved when it grows nor copied when it is passed on.
package segments

import (
	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
)

const (
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 64 << 10
)

// Body is a body that is held once, with an account of its bytes. It is accessed on one event loop.
type Body struct {
	budget *bytebudget.Budget
	kind   bytebudget.Kind
	// segments are full, except the last one.
	segments [][]byte
	size     int
	// charged is the capacity of all segments.
	charged int
	// users is the number of references. The body is empty once it is 0.
	users int
}

// New returns an empty body that arrives. The caller has the first reference.
func New(budget *bytebudget.Budget) *Body {
	return &Body{budget: budget, kind: bytebudget.Arriving, users: 1}
}

// Len returns the size of the body.
func (b *Body) Len() int { return b.size }

// Held returns the number of bytes that the body takes up.
func (b *Body) Held() int { return b.charged }

// Space returns room for the next bytes, of which expected more are to come at most. Extend must be
// called with the number that was filled in. A new segment is as large as what has arrived, within
// bounds, so that a body takes up at most about twice its size.
func (b *Body) Space(expected int) []byte {
	if last := len(b.segments) - 1; last >= 0 {
		if segment := b.segments[last]; len(segment) < cap(segment) {
			return segment[len(segment):cap(segment)]
		}
	}
	size := min(max(b.size, minSegmentBytes), maxSegmentBytes, max(expected, 1))
	segment := make([]byte, 0, size)
	b.segments = append(b.segments, segment)
	b.charged += size
	b.budget.Add(b.kind, int64(size))
	return segment[:size]
}

// Extend adds the first n bytes of the last Space to the body.
func (b *Body) Extend(n int) {
	last := len(b.segments) - 1
	b.segments[last] = b.segments[last][:len(b.segments[last])+n]
	b.size += n
}

// Append copies bytes to the end of the body, of which expected more are to come at most, with
// these.
func (b *Body) Append(p []byte, expected int) {
	for len(p) > 0 {
		n := copy(b.Space(expected), p)
		b.Extend(n)
		p = p[n:]
		expected -= n
	}
}

// Complete marks the body as arrived.
func (b *Body) Complete() {
	b.budget.Move(b.kind, bytebudget.Bodies, int64(b.charged))
	b.kind = bytebudget.Bodies
}

// Segments returns the segments, which must not be modified.
func (b *Body) Segments() [][]byte { return b.segments }

// Bytes returns a copy of the body.
func (b *Body) Bytes() []byte {
	joined := make([]byte, 0, b.size)
	for _, segment := range b.segments {
		joined = append(joined, segment...)
	}
	return joined
}

// Retain adds a reference. It returns false if the body was already dropped.
func (b *Body) Retain() bool {
	if b.users == 0 {
		return false
	}
	b.users++
	return true
}

// Release gives up a reference. The last one drops the bytes.
func (b *Body) Release() {
	b.users--
	if b.users == 0 {
		b.budget.Add(b.kind, -int64(b.charged))
		b.segments, b.charged = nil, 0
	}
}
