package daemon

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// Limits of the admin port.
const (
	// adminHeaderBytes bounds the header of a request.
	adminHeaderBytes = 8 << 10
	// adminBodyBytes bounds the body of a request.
	adminBodyBytes = 4 << 10
	// adminConnections bounds the open connections.
	adminConnections = 128
	// adminReadTimeout bounds the time that a request takes to arrive.
	adminReadTimeout = 5 * time.Second
	// adminWriteTimeout bounds the time that an answer takes to be received.
	adminWriteTimeout = 30 * time.Second
	// adminIdleTimeout bounds the time between two requests.
	adminIdleTimeout = time.Minute
)

// newAdminServer returns the server of the admin port. It accepts GET only.
func newAdminServer(handler fasthttp.RequestHandler, log logrus.FieldLogger) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		GetOnly:               true,
		NoDefaultServerHeader: true,
		ReadBufferSize:        adminHeaderBytes,
		MaxRequestBodySize:    adminBodyBytes,
		Concurrency:           adminConnections,
		ReadTimeout:           adminReadTimeout,
		WriteTimeout:          adminWriteTimeout,
		IdleTimeout:           adminIdleTimeout,
		CloseOnShutdown:       true,
		Logger:                adminLogger{log},
	}
}

// adminLogger passes the library's own messages on at a lower level.
type adminLogger struct{ log logrus.FieldLogger }

// Printf implements fasthttp.Logger.
func (l adminLogger) Printf(format string, args ...any) { l.log.Debugf(format, args...) }
