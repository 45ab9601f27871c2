package adminclient

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/backoff"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
)

const (
	// resendBase and resendMax bound the pauses between the sends of an acceptance.
	resendBase = 100 * time.Millisecond
	resendMax  = 2 * time.Second
)

// Accept brings a proposal into force and returns its revision. While the outcome is
// unknown, the acceptance is sent again with the same request ID, to the next address
// if the last one didn't answer. An empty requestID means a new one.
func (c *Client) Accept(proposal *questionnaire.Proposal, requestID string) (uint64, error) {
	if requestID == "" {
		requestID = uuid.NewString()
	}
	a := &acceptance{
		client: c,
		request: &request{
			method:    fasthttp.MethodPost,
			path:      adminapi.PathAcceptances,
			body:      proposal,
			ifMatch:   RevisionETag(proposal.Base),
			requestID: requestID,
		},
		deadline: time.Now().Add(c.options.Patience),
		pause:    backoff.Backoff{Base: resendBase, Max: resendMax},
		rng:      newRand(),
	}
	return a.run()
}

// acceptance is one acceptance with its resends.
type acceptance struct {
	client   *Client
	request  *request
	deadline time.Time
	pause    backoff.Backoff
	rng      *rand.Rand
	// refusals counts the addresses in a row that took no connection.
	refusals int
	// unsure is set once a send may have taken effect.
	unsure bool
}

func (a *acceptance) run() (uint64, error) {
	for {
		revision, err := a.send()
		if err == nil {
			return revision, nil
		}
		if a.final(err) || !a.wait(err) {
			return 0, a.result(err)
		}
	}
}

func (a *acceptance) send() (uint64, error) {
	timeout := min(a.client.options.Timeout, time.Until(a.deadline))
	answer, err := a.client.exchange(a.request, timeout)
	if err != nil {
		return 0, err
	}
	var accepted adminapi.AcceptReply
	if err := answer.decode(&accepted); err != nil {
		return 0, err
	}
	if accepted.Revision == 0 {
		return 0, &TransportError{Address: answer.address, Sent: true, Cause: &StatusError{Status: fasthttp.StatusCreated}}
	}
	return accepted.Revision, nil
}

// final reports whether another send would be useless, and notes what is known of
// the outcome.
func (a *acceptance) final(err error) bool {
	var transport *TransportError
	if errors.As(err, &transport) {
		a.client.advance()
		return a.noteTransport(transport)
	}
	var failed *failure
	if !errors.As(err, &failed) {
		return true
	}
	switch failed.refused.Code {
	case adminapi.CodeUnsure, adminapi.CodeInternal:
		a.unsure = true
		return false
	case adminapi.CodeStale:
		// The base was replaced, so no earlier send can take effect any more.
		a.unsure = false
		return true
	case adminapi.CodeBusy:
		// Nothing was changed; another daemon may have room.
		a.client.advance()
		return false
	case adminapi.CodePlatform, adminapi.CodeRate, adminapi.CodeTooSlow:
		return !a.unsure
	}
	return true
}

func (a *acceptance) noteTransport(err *TransportError) bool {
	if err.Sent {
		a.unsure = true
		return false
	}
	a.refusals++
	return !a.unsure && a.refusals >= len(a.client.options.Addresses)
}

// wait pauses before the next send. It returns false when patience is over.
func (a *acceptance) wait(err error) bool {
	pause := a.pause.Next(a.rng)
	var failed *failure
	if errors.As(err, &failed) {
		pause = max(pause, failed.retryAfter)
	}
	if time.Now().Add(pause).After(a.deadline) {
		return false
	}
	time.Sleep(pause)
	return true
}

func (a *acceptance) result(err error) error {
	if a.unsure {
		return &UnsureError{RequestID: a.request.requestID, Cause: apiError(err)}
	}
	return apiError(err)
}
