package callerserver

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/wire"
	"github.com/valyala/fasthttp"
)

// Observer is told what a caller was answered. Outcome and reason are valid
// during the call only.
type Observer interface {
	Answered(outcome, reason []byte, elapsed time.Duration)
}

// Observe sets the observer of the answer. It must be called before Reply.
func (e *Exchange) Observe(observer Observer) {
	e.observer = observer
	e.started = time.Now()
}

func (e *Exchange) observe(response *fasthttp.Response) {
	if e.observer == nil {
		return
	}
	outcome := response.Header.Peek(wire.HeaderOutcome)
	reason := response.Header.Peek(wire.HeaderReason)
	e.observer.Answered(outcome, reason, time.Since(e.started))
}
