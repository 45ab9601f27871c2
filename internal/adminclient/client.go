package adminclient

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/responsehead"
)

// Defaults of Options.
const (
	// DefaultTimeout is longer than the API itself waits for the platform.
	DefaultTimeout = 15 * time.Second
	// DefaultPatience bounds an acceptance with its resends.
	DefaultPatience = 45 * time.Second
	// DefaultMaxAnswerBytes bounds the body of an answer.
	DefaultMaxAnswerBytes = 16 << 20
)

// dialTimeout bounds the time to open a connection.
const dialTimeout = 2 * time.Second

// Options configure a Client.
type Options struct {
	// Addresses are the "ip:port" of the API, at least one.
	Addresses []string
	// Token is sent with each request.
	Token string
	// Operator names the person behind the token. Optional.
	Operator string
	// Timeout bounds one exchange. 0 means DefaultTimeout.
	Timeout time.Duration
	// Patience bounds an acceptance with its resends. 0 means DefaultPatience.
	Patience time.Duration
	// MaxAnswerBytes bounds the body of an answer. 0 means DefaultMaxAnswerBytes.
	MaxAnswerBytes int
}

// Client sends requests to the administration API. It is safe for concurrent use.
type Client struct {
	options Options
	http    *fasthttp.Client
	// current is the index of the address in use, modulo their number.
	current atomic.Uint32
}

// New returns a client.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Patience == 0 {
		options.Patience = DefaultPatience
	}
	if options.MaxAnswerBytes == 0 {
		options.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return &Client{
		options: options,
		http: &fasthttp.Client{
			Dial:                      dial,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       options.MaxAnswerBytes,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// dialError tells a failed connection from an exchange that failed later.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

func dial(address string) (net.Conn, error) {
	connection, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return responsehead.NewConn(connection), nil
}

// address returns the address in use.
func (c *Client) address() string {
	return c.options.Addresses[int(c.current.Load())%len(c.options.Addresses)]
}

// advance makes the next address the one in use.
func (c *Client) advance() { c.current.Add(1) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
