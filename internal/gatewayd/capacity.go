package gatewayd

// Resources are the resources of the daemon's VM.
type Resources struct {
	// Cores is the processor time available per second, in seconds of a typical core.
	// 0 means unknown.
	Cores float64
	// LinkMbps is the bandwidth of the VM's link in Mbit/s. 0 means unknown.
	LinkMbps float64
	// MaxFiles is the maximum number of open files and sockets of the process. 0 means
	// unlimited.
	MaxFiles int
	// MemoryMB is the memory of the VM in MB. 0 means unknown.
	MemoryMB int
}

const (
	// requestsPerCore is the rate of requests per second that a core can sustain with room
	// for bursts.
	requestsPerCore = 1000
	// requestBytes is the traffic of a request on the VM's link in bytes.
	requestBytes = 3000
	// linkFraction is the fraction of the link's bandwidth that requests may use
	// continuously.
	linkFraction = 0.5
	// defaultCapacity is assumed for VMs whose processor time is unknown.
	defaultCapacity = 300

	bitsPerByte = 8
	megabit     = 1e6
	megabyte    = 1 << 20
)

// capacity returns the rate of requests per second that the VM can sustain.
func (r Resources) capacity() float64 {
	if r.Cores <= 0 {
		return defaultCapacity
	}
	requests := r.Cores * requestsPerCore
	if r.LinkMbps <= 0 {
		return requests
	}
	return min(requests, r.LinkMbps*megabit/bitsPerByte*linkFraction/requestBytes)
}

const (
	// reservedFiles are kept for anything but callers and targets: the store, other
	// daemons, logs, the admin port, and connections that are about to be closed.
	reservedFiles = 300
	// callerFraction is the fraction of the other files that callers may use. The rest is
	// for targets.
	callerFraction = 0.6
	// minConnections is the limit of connections if there are hardly more files than the
	// reserved ones.
	minConnections = 20
)

// connections returns the maximum number of connections from callers and to targets
// together. 0 means unlimited.
func (r Resources) connections() int {
	if r.MaxFiles <= 0 {
		return 0
	}
	return max(r.MaxFiles-reservedFiles, minConnections)
}

// callerConnections returns the maximum number of connections from callers. 0 means
// unlimited.
func (r Resources) callerConnections() int { return int(float64(r.connections()) * callerFraction) }

// targetConnections returns the maximum number of connections to targets. 0 means unlimited.
func (r Resources) targetConnections() int { return r.connections() - r.callerConnections() }

const (
	// responseFraction is the fraction of the VM's memory that incomplete responses may take.
	// While a buffer grows or a response is passed on there are up to three copies of it.
	responseFraction = 0.1
	// defaultResponseBytes is assumed for VMs whose memory is unknown.
	defaultResponseBytes = 16 * megabyte
)

// responseBytes returns the maximum size of all incomplete responses of targets together.
func (r Resources) responseBytes() int64 {
	if r.MemoryMB <= 0 {
		return defaultResponseBytes
	}
	return int64(float64(r.MemoryMB) * megabyte * responseFraction)
}
