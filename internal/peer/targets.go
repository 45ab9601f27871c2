package peer

// MethodLeavingTargets tells which targets have said that they are leaving. It is
// answered by the LeavingTargets of the receiver.
const MethodLeavingTargets = "targets.leaving"

// LeavingTargets are targets that are leaving, by their VM names.
type LeavingTargets struct {
	// Names have said so themselves.
	Names []string `json:"names"`
	// Listed are leaving or gone by the platform's list.
	Listed []string `json:"listed,omitempty"`
}
