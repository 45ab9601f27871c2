package feed

import "fmt"

// Position is a point in the history of the store.
type Position struct {
	// Epoch is the number of the history. A store that is restored from an older copy
	// begins a new epoch, in which it assigns revisions of the former one again, to other
	// changes. So revisions can only be compared within an epoch.
	Epoch uint64
	// Revision is the revision within the epoch.
	Revision uint64
}

// String implements fmt.Stringer.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Epoch, p.Revision) }

// Before reports whether p is an earlier point than other.
func (p Position) Before(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Revision < other.Revision
}

// Gap is what may have happened to the objects of the store between two lists.
type Gap int

const (
	// NoGap means that the later list shows the objects as they are.
	NoGap Gap = iota
	// Outage means that calls have failed. Registrations may have expired meanwhile although
	// their owners run.
	Outage
	// Restore means that the store was restored from an older copy: what was written since
	// the copy is missing until it is written again, and what was removed is listed again.
	Restore
)
