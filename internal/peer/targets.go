package peer

// MethodLeavingTargets tells which targets have said that they are leaving. It is
// answered by the LeavingTargets of the receiver.
const MethodLeavingTargets = "targets.leaving"

// LeavingTargets are targets that a daemon has from themselves.
type LeavingTargets struct {
	// Names are VM names.
	Names []string `json:"names"`
}
