package callerserver

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/wire"
	"github.com/valyala/fasthttp"
)

// Observer is notified of each response. The outcome and reason are valid only during the
// call.
type Observer interface {
	Answered(outcome, reason []byte, elapsed time.Duration)
}

// Observe sets the observer of the response and starts the measurement of its elapsed
// time. It must be called before Reply.
func (e *Exchange) Observe(observer Observer) {
	e.observer = observer
	e.started = time.Now()
}

// observe notifies the observer, if there is one.
func (e *Exchange) observe(response *fasthttp.Response) {
	if e.observer == nil {
		return
	}
	outcome := response.Header.Peek(wire.HeaderOutcome)
	reason := response.Header.Peek(wire.HeaderReason)
	e.observer.Answered(outcome, reason, time.Since(e.started))
}
