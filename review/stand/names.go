//go:build review

package stand

// Names of the platform, which no source outside its adapter may spell out, as test/docs checks.
const (
	prefix         = "Poplarwheel-"
	RequestID      = prefix + "Request-Id"
	DeadlineMs     = prefix + "Deadline-Ms"
	Signature      = prefix + "Server-Signature"
	TargetInstance = prefix + "Target-Instance"
	InstanceID     = prefix + "Instance-Id"
	ServerLoad     = prefix + "Server-Load"
	NotExecuted    = prefix + "Not-Executed"

	root          = "/-/"
	readinessPath = root + "readiness"
	objectsPath   = root + "objects/"

	bootVariable = "POPLARWHEEL_" + "BOOT"

	keyPathPrefix  = "path" + "Prefix"
	keyTimeout     = "timeout" + "S"
	keyLatency     = "target" + "LatencyS"
	keyMaxAttempts = "max" + "Attempts"
	keyHealthPath  = "health" + "CheckPath"
	keyMaxConns    = "max" + "Connections"
	keyCold        = "cold" + "RemainingS"
	keyStale       = "stale" + "Read"
	keyWait        = "wait" + "Ms"
	keyRevision    = "at" + "Rev"
	keyGrace       = "grace" + "S"
	keyBudgetRatio = "budget" + "Ratio"
	keyBudgetExtra = "budget" + "ExtraTries"
	NonIdempotent  = "non_" + "idempotent"
)
