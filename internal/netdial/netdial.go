// Package netdial defines the dial function with which daemons connect to targets and
// to one another. Tests replace it to simulate network partitions.
package netdial

import (
	"context"
	"net"
)

// Func opens a TCP connection to address ("ip:port"). It fails once ctx is done.
type Func func(ctx context.Context, address string) (net.Conn, error)

// Direct dials the address with a plain net.Dialer.
func Direct(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
