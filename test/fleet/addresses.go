package fleet

import (
	"fmt"
	"net"
	"strconv"
)

// EntryName returns the VM name of entry daemon i.
func EntryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// TargetName returns the VM name of target i.
func TargetName(i int) string { return fmt.Sprintf("target-%d", i) }

// Zone returns the availability zone of the VM with index i.
func Zone(i int) string { return string(rune('a' + i%zones)) }

func (f *Fleet) entryIP(i int) string { return f.subnet + strconv.Itoa(10+i) }

// TargetIP returns the IP of target i.
func (f *Fleet) TargetIP(i int) string { return f.subnet + strconv.Itoa(100+i) }

// EntryAddress returns the "ip:port" that serves callers of entry daemon i.
func (f *Fleet) EntryAddress(i int) string {
	return net.JoinHostPort(f.entryIP(i), strconv.Itoa(CallerPort))
}

// AdminAddress returns the "ip:port" that serves operators of entry daemon i.
func (f *Fleet) AdminAddress(i int) string {
	return net.JoinHostPort(f.entryIP(i), strconv.Itoa(AdminPort))
}

// APIAddress returns the "ip:port" of the administration API of entry daemon i.
func (f *Fleet) APIAddress(i int) string {
	return net.JoinHostPort(f.entryIP(i), strconv.Itoa(APIPort))
}

// TargetAddress returns the "ip:port" of target i.
func (f *Fleet) TargetAddress(i int) string {
	return net.JoinHostPort(f.TargetIP(i), strconv.Itoa(TargetPort))
}

// EntryAddresses returns the caller addresses of all entry daemons.
func (f *Fleet) EntryAddresses() []string {
	addresses := make([]string, f.options.Entries)
	for i := range addresses {
		addresses[i] = f.EntryAddress(i)
	}
	return addresses
}
