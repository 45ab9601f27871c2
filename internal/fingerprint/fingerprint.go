// Package fingerprint identifies the content of requests.
package fingerprint

import "github.com/cespare/xxhash/v2"

// Of returns the fingerprint of parts. Parts that differ only in where one ends and the
// next begins have different fingerprints unless they contain zero bytes.
func Of(parts ...[]byte) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.Write(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
