package entryset

import "github.com/poplarwheel/poplarwheel/internal/membership"

// InRegion returns the members of a region. Without a live member there it
// returns all of them, so that callers are served from another region.
func InRegion(members []membership.Member, region string) []membership.Member {
	local := make([]membership.Member, 0, len(members))
	live := false
	for _, member := range members {
		if member.Region == region {
			local = append(local, member)
			live = live || member.State == membership.Live
		}
	}
	if !live {
		return members
	}
	return local
}
