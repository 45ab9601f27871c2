package peer

import "github.com/poplarwheel/poplarwheel/internal/quarantine"

// Methods about requests that crash targets.
const (
	// MethodSuspect carries Suspects and is answered by what the receiver knows of
	// the same contents, as Suspects. An earlier version answers by an empty object.
	MethodSuspect = "quarantine.suspect"
	// MethodLift carries a Lift and is answered by an empty object.
	MethodLift = "quarantine.lift"
	// MethodSuspects is answered by all Suspects of the receiver.
	MethodSuspects = "quarantine.suspects"
)

// Suspects are contents that were at a target when it died.
type Suspects struct {
	Suspects []quarantine.Suspect `json:"suspects"`
	// Relay asks the receiver to tell the daemons of its availability zone, and to answer once
	// they have.
	Relay bool `json:"relay,omitempty"`
	// Claimed is set in an answer if one of the contents must not be sent at present: a
	// request holds a claim for it, or the health of its target is being checked.
	Claimed bool `json:"claimed,omitempty"`
	// Incomplete is set in the answer to a message with Relay if not all daemons of the zone
	// have answered.
	Incomplete bool `json:"incomplete,omitempty"`
}

// Lift ends the suspicion of one content.
type Lift struct {
	Content quarantine.Content `json:"content,string"`
	// Relay asks the receiver to tell the daemons of its availability zone.
	Relay bool `json:"relay,omitempty"`
}
