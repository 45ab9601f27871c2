// Package fingerprint computes hashes that identify the content of requests.
package fingerprint

import "github.com/cespare/xxhash/v2"

// Of returns the fingerprint of parts. The boundaries between parts count: ("ab", "c")
// and ("a", "bc") are hashed as different input. Only parts that themselves contain zero
// bytes, which serve as separators, can be taken for others.
func Of(parts ...[]byte) uint64 {
	digest := New()
	for _, part := range parts {
		digest.Add(part)
	}
	return digest.Sum()
}

// Digest computes a fingerprint part by part.
type Digest struct{ hash *xxhash.Digest }

// New returns the digest of no parts.
func New() Digest { return Digest{hash: xxhash.New()} }

// Add adds a part that consists of pieces, whose boundaries don't count.
func (d Digest) Add(pieces ...[]byte) {
	for _, piece := range pieces {
		_, _ = d.hash.Write(piece)
	}
	_, _ = d.hash.Write([]byte{0})
}

// Sum returns the fingerprint of the parts so far.
func (d Digest) Sum() uint64 { return d.hash.Sum64() }
