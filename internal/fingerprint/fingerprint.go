// Package fingerprint computes hashes that identify the content of requests.
package fingerprint

import "github.com/cespare/xxhash/v2"

// Of returns the fingerprint of parts. The boundaries between parts count: ("ab", "c")
// and ("a", "bc") are hashed as different input. Only parts that themselves contain zero
// bytes, which serve as separators, can be taken for others.
func Of(parts ...[]byte) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.Write(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
