package hedging

// Counts counts the hedges of a service since the start.
type Counts struct {
	// Sent counts hedges, Won those of them that were answered before the first attempt.
	Sent uint64 `json:"sent"`
	Won  uint64 `json:"won"`
	// Suppressed counts slow attempts that were not hedged, by reason. An attempt counts again
	// only if the reason changes.
	Suppressed map[Reason]uint64 `json:"suppressed,omitempty"`
}

// RecordSuppressed counts a slow attempt that was not hedged.
func (c *Counts) RecordSuppressed(reason Reason) {
	if c.Suppressed == nil {
		c.Suppressed = map[Reason]uint64{}
	}
	c.Suppressed[reason]++
}
