package targetclient

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// Rules configures how a client treats the responses and connections of targets.
type Rules struct {
	// Match returns nil if response is the response to request, a *MismatchError if it is
	// that to another one, and an *UnidentifiedError if it doesn't tell. It must not retain
	// its arguments.
	Match func(request *fasthttp.Request, response *fasthttp.Response) error
	// DiscardMismatched discards a response that doesn't match and keeps waiting for the right
	// one. Otherwise the attempt fails with a *LostError.
	DiscardMismatched bool
	// TrustUnidentified believes a response that doesn't tell to which request it is, also if it
	// isn't the first on its connection. Such a response ends its connection.
	TrustUnidentified bool
	// AllowCloseDelimited accepts responses without a declared length. Such a response is
	// complete if the target closes the connection without a reset.
	AllowCloseDelimited bool
	// PoolUnused pools a connection whose attempt was canceled while it was dialed.
	PoolUnused bool
	// IdleTimeout is how long an idle connection is kept, unless the Keep-Alive header of
	// the target's response asks for less. The default is 30 s.
	IdleTimeout time.Duration
	// MaxConnections is the maximum number of open connections to all targets. At the limit, a
	// new connection replaces the one on its event loop that has been idle longest. 0 means
	// no limit.
	MaxConnections int
	// MaxBufferedBytes is the maximum size of all incomplete responses together. At the limit,
	// an attempt whose response needs more fails with ErrMemory; responses of up to 16 KiB
	// are received nevertheless. 0 means no limit.
	MaxBufferedBytes int64
	// Budget accounts for incomplete responses and for requests that targets have yet to receive.
	// While it is exhausted, the same holds as at MaxBufferedBytes. It may be nil.
	Budget *bytebudget.Budget
}

// keepAliveMargin is how long before the target's own idle timeout a connection is no longer
// reused. Without it a request could be sent just as the target closes the connection.
const keepAliveMargin = 500 * time.Millisecond

// DefaultRules returns the rules for targets that return poplarwheel's own headers.
func DefaultRules() Rules {
	return Rules{Match: matchAttemptID, TrustUnidentified: true, IdleTimeout: defaultIdleTimeout}
}

// idleTimeout returns how long a connection may be idle after a response.
func (r *Rules) idleTimeout(response *fasthttp.Response) time.Duration {
	seconds, ok := keepAliveSeconds(response.Header.Peek("Keep-Alive"))
	if !ok {
		return r.IdleTimeout
	}
	limit := time.Duration(seconds)*time.Second - keepAliveMargin
	return min(r.IdleTimeout, max(limit, 0))
}

// keepAliveSeconds returns the timeout parameter of a Keep-Alive header.
func keepAliveSeconds(header []byte) (int, bool) {
	for part := range strings.SplitSeq(string(header), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		return seconds, err == nil
	}
	return 0, false
}

// matchAttemptID compares the attempt IDs, which some targets don't return.
func matchAttemptID(request *fasthttp.Request, response *fasthttp.Response) error {
	want := request.Header.Peek(wire.HeaderAttemptID)
	have := response.Header.Peek(wire.HeaderAttemptID)
	switch {
	case bytes.Equal(want, have):
		return nil
	case len(have) == 0:
		return &UnidentifiedError{Status: response.StatusCode()}
	}
	return &MismatchError{Want: string(want), Have: string(have)}
}
