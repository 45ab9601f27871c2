package netdial

import "net/netip"

// IsHostPort reports whether an address is the "ip:port" of a single host. Host names are not:
// looking them up could block.
func IsHostPort(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	ip := parsed.Addr()
	return parsed.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast()
}
