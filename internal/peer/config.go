package peer

import "encoding/json"

// MethodNewestConfig carries a NewestConfigRequest and is answered by a NewestConfig.
const MethodNewestConfig = "feed.config"

// NewestConfigRequest asks for a configuration that is newer than the sender's.
type NewestConfigRequest struct {
	// Revision is that of the sender's configuration, or 0 without one.
	Revision uint64 `json:"revision"`
}

// NewestConfig is the newest configuration that the receiver has read.
type NewestConfig struct {
	// Spec is its content as stored. It is empty if it isn't newer than the requested one.
	Spec json.RawMessage `json:"spec,omitempty"`
}
