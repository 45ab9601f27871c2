package heartbeat

import (
	"errors"
	"net"
)

// isClosed reports whether err means that the socket is closed.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
