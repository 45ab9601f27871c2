package peer

// MethodLeavingTargets tells which targets have said that they are leaving.
const MethodLeavingTargets = "targets.leaving"

// LeavingTargets are the parameters of MethodLeavingTargets.
type LeavingTargets struct {
	// Names are VM names.
	Names []string `json:"names"`
}
