package proxy

import (
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// loadOf returns the load report on an answer.
func loadOf(response *fasthttp.Response) balancer.Report {
	value := response.Header.Peek(wire.HeaderInFlight)
	if len(value) == 0 {
		return balancer.Report{}
	}
	count, err := fasthttp.ParseUint(value)
	return balancer.Report{Known: err == nil, InFlight: count}
}
