// Package loopback hands out loopback addresses, so that tests, demos and
// benchmarks that run at the same time on one machine don't share any.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

const (
	// firstOctet and octets bound the second byte of the addresses.
	firstOctet = 10
	octets     = 200
	// subnets is the number of values of the third byte.
	subnets = 250
	// lockHost and lockPort are the address that is held while a subnet is in use.
	lockHost = 254
	lockPort = 6100
)

// Subnet is a block of addresses that is held until it is released.
type Subnet struct {
	// Prefix is the first three bytes, for example "127.42.7.". Hosts 1 to 253 are
	// free for use.
	Prefix string
	lock   net.Listener
}

// NoSubnetError reports that every subnet is in use.
type NoSubnetError struct{ Cause error }

// Error implements error.
func (e *NoSubnetError) Error() string {
	return fmt.Sprintf("loopback: no subnet is free: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoSubnetError) Unwrap() error { return e.Cause }

// next keeps the subnets of one process apart without trying.
var next atomic.Uint32

// held keeps the locks of subnets in use from being collected, which would close
// them.
var held sync.Map

// Reserve returns a subnet that no other user of this package holds, in this or
// another process. It stays reserved until Release or the end of the process.
// The error is a *NoSubnetError.
func Reserve() (*Subnet, error) {
	var last error
	for range subnets {
		prefix := fmt.Sprintf("127.%d.%d.", firstOctet+os.Getpid()%octets, next.Add(1)%subnets)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, lockHost, lockPort))
		if err == nil {
			held.Store(prefix, lock)
			return &Subnet{Prefix: prefix, lock: lock}, nil
		}
		last = err
	}
	return nil, &NoSubnetError{Cause: last}
}

// Host returns the IP of a host of the subnet.
func (s *Subnet) Host(host int) string { return fmt.Sprint(s.Prefix, host) }

// Release lets others use the subnet.
func (s *Subnet) Release() error {
	held.Delete(s.Prefix)
	return s.lock.Close()
}
