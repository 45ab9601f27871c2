package admin

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
)

const (
	// tokenPrefix starts a team's token.
	tokenPrefix = "pw_"
	// tokenSeparator ends the ID within a token.
	tokenSeparator = "_"
	// tokenIDBytes is the length of a token's ID before its encoding in hex.
	tokenIDBytes = 6
	// tokenSecretBytes is the length of a token's secret part before its encoding.
	tokenSecretBytes = 32
)

// newToken returns a random token and its ID.
func newToken() (token, id string) {
	var random [tokenIDBytes + tokenSecretBytes]byte
	_, _ = rand.Read(random[:]) // never fails
	id = hex.EncodeToString(random[:tokenIDBytes])
	secret := base64.RawURLEncoding.EncodeToString(random[tokenIDBytes:])
	return tokenPrefix + id + tokenSeparator + secret, id
}

// tokenID returns the ID of a team's token. It returns false for any other text.
func tokenID(token string) (string, bool) {
	rest, ok := strings.CutPrefix(token, tokenPrefix)
	if !ok {
		return "", false
	}
	id, _, ok := strings.Cut(rest, tokenSeparator)
	return id, ok && id != ""
}

// hashToken returns the SHA-256 of a token in hex.
func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// hashMatches compares a token with a hash in constant time.
func hashMatches(token, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(hashToken(token)), []byte(strings.ToLower(hash))) == 1
}
