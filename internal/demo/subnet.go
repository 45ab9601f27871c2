package demo

import (
	"fmt"
	"net"
	"os"
)

const (
	// firstOctet and octets bound the second byte of the loopback addresses.
	firstOctet = 10
	octets     = 200
	// subnetTries bounds the search for free addresses.
	subnetTries = 20
)

// freeSubnets returns prefixes of loopback addresses ("127.a.b.") on which no
// other demo runs.
func freeSubnets(count int) ([]string, error) {
	var last error
	for try := range subnetTries {
		octet := firstOctet + (os.Getpid()+try)%octets
		subnets := make([]string, count)
		last = nil
		for i := range subnets {
			subnets[i] = fmt.Sprintf("127.%d.%d.", octet, 200+i)
			last = probe(address(subnets[i], platformHost, platformPort))
			if last != nil {
				break
			}
		}
		if last == nil {
			return subnets, nil
		}
	}
	return nil, &StartError{Part: "loopback addresses", Cause: last}
}

// probe reports whether an address can be listened on.
func probe(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return listener.Close()
}
