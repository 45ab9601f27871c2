package main

import (
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// sabotage breaks the system on purpose, to show that a run sees it.
type sabotage struct {
	kind string
	// target is the "ip:port" of a target that is called behind the daemons' back.
	target string
}

// Kinds of sabotage.
const (
	// sabotageTwice runs each booking once more at a target, as a daemon that
	// retries blindly would.
	sabotageTwice = "run-twice"
	// sabotageLie calls answered bookings not run, as a daemon that guesses would.
	sabotageLie = "false-not-run"
	// sabotageSwap gives a caller the answer to another request.
	sabotageSwap = "foreign-answer"
	// sabotageCut cuts the connection of answered bookings.
	sabotageCut = "cut-request"
)

// apply changes what a caller was told about a booking, or what was done.
func (s sabotage) apply(key string, a answer) answer {
	if a.Outcome != client.Ran {
		return a
	}
	switch s.kind {
	case sabotageTwice:
		s.runAgain(key)
	case sabotageLie:
		a.Outcome = client.NotRun
	case sabotageSwap:
		a.Wrong = "swapped by sabotage"
	case sabotageCut:
		a.Cut = true
	}
	return a
}

func (s sabotage) runAgain(key string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.target + "/book")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(wire.HeaderIdempotencyKey, key)
	_ = fasthttp.DoTimeout(request, response, callTimeout)
}
