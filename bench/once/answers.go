package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
)

// answerBytes is the size of an answer.
const answerBytes = 200

// answers makes the answers of targets. It is safe for concurrent use.
type answers struct {
	random bool

	mu  sync.Mutex
	rng *rand.Rand
}

func newAnswers(o options) *answers {
	return &answers{random: o.randomAnswers, rng: rand.New(rand.NewPCG(uint64(o.seed), 2))}
}

// next returns an answer: random bytes, or the JSON of a booking.
func (a *answers) next() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.random {
		return a.randomBytes()
	}
	text := fmt.Sprintf(`{"booking":"%016x","state":"confirmed","deliver_at":"2026-12-%02dT%02d:%02d:00+08:00","items":[{"sku":"carpet-red","quantity":%d},{"sku":"stanchion","quantity":%d}],"total_cents":%d,"reference":"%012x"}`,
		a.rng.Uint64(), 1+a.rng.IntN(28), a.rng.IntN(24), a.rng.IntN(60), a.rng.IntN(90), a.rng.IntN(90), a.rng.IntN(1_000_000), a.rng.Uint64N(1<<48))
	return []byte(text)
}

func (a *answers) randomBytes() []byte {
	body := make([]byte, answerBytes)
	for i := range body {
		body[i] = byte(a.rng.Uint32())
	}
	return body
}
