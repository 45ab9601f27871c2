// Package entryset chooses which entry VMs serve a service.
//
// The choice is rendezvous hashing: each pair of service and entry VM has a
// score, and the highest scores serve. All daemons with the same view agree, and
// a VM that leaves moves only its own share.
package entryset

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwheel/poplarwheel/internal/membership"
)

// Choose returns up to size live members for a service, best first, from as many
// availability zones as possible.
func Choose(service string, members []membership.Member, size int) []membership.Member {
	ranked := rank(service, members)
	chosen := make([]membership.Member, 0, size)
	for len(chosen) < size && len(ranked) > 0 {
		var rest []membership.Member
		chosen, rest = takeRound(chosen, ranked, size)
		ranked = rest
	}
	return chosen
}

// takeRound takes the best member of each zone and returns those left over.
func takeRound(chosen, ranked []membership.Member, size int) (taken, rest []membership.Member) {
	zones := map[string]bool{}
	for _, member := range ranked {
		if zones[member.Zone] || len(chosen) == size {
			rest = append(rest, member)
			continue
		}
		zones[member.Zone] = true
		chosen = append(chosen, member)
	}
	return chosen, rest
}

// rank returns the live members by descending score.
func rank(service string, members []membership.Member) []membership.Member {
	ranked := make([]membership.Member, 0, len(members))
	for _, member := range members {
		if member.State == membership.Live {
			ranked = append(ranked, member)
		}
	}
	sort.Slice(ranked, func(i, j int) bool {
		return score(service, ranked[i].Name) > score(service, ranked[j].Name)
	})
	return ranked
}

func score(service, member string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
