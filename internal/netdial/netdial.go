// Package netdial is the seam through which daemons open connections to targets and
// to one another, so that tests can cut networks.
package netdial

import (
	"context"
	"net"
)

// Func opens a TCP connection to address ("ip:port"). It gives up when ctx is done.
type Func func(ctx context.Context, address string) (net.Conn, error)

// Direct opens connections without a detour.
func Direct(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
