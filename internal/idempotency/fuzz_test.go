package idempotency

import (
	"errors"
	"testing"
)

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"u.0f3a.1:a", "u.0f3a.1:", ":a", "u..1:a", "x.0f3a.1:a", "u.0f3a.1:a:b", "\x00.\xff.\n:"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		if err != nil {
			var bad *BadKeyError
			if !errors.As(err, &bad) {
				t.Fatalf("error %T", err)
			}
			return
		}
		if key.String() != text {
			t.Fatalf("%q became %q", text, key.String())
		}
	})
}
