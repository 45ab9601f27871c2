package gatewayd

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// Settings are the settings of a daemon.
type Settings struct {
	// Name is the VM's name, IP its own address, Zone its availability zone.
	Name, IP, Zone string
	// Zones are the availability zones of the deployment.
	Zones []string
	// CallerAddress, DirectoryAddress, ReadinessAddress and PeerAddress are the "ip:port"
	// addresses for requests of callers, for the directory of entry VMs, for readiness
	// checks of the platform, and for datagrams and connections of other daemons.
	CallerAddress, DirectoryAddress, ReadinessAddress, PeerAddress string
	// PeerKey is the shared key by which daemons authenticate connections to each other.
	PeerKey string
	// AdminPort is the port of metrics and the state dump, or 0 for none.
	AdminPort int
	// MinEntryVMs is the minimum number of advertised entry VMs in a zone. More are
	// advertised if the zone's load requires it.
	MinEntryVMs int
	// Resources are the resources of the daemon's VM.
	Resources Resources
	// TerminationGrace is the time between SIGTERM and SIGKILL.
	TerminationGrace time.Duration
	// MaxDirectoryTTL is the maximum time for which callers may cache the list of entry
	// VMs.
	MaxDirectoryTTL time.Duration
	// RetryWindow, RetryRatio and RetryFixed define the retry budget that all daemons
	// share: RetryRatio x requests + RetryFixed sends beyond the first of each request in
	// every window.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryFixed  float64
	// ProbeRate is the maximum number of probes per second to each target by all daemons
	// together. 0 means unlimited.
	ProbeRate float64
	// HedgeRatio is the maximum number of hedges for each request of a service. 0 means that
	// only the retry budget limits them.
	HedgeRatio float64
	// ColdSlack is the number of requests beyond its rate that a cold target bears.
	ColdSlack float64
	// EvacuateTime is the time within which the evacuation of an availability zone has to take
	// effect. 0 means that zones are not evacuated.
	EvacuateTime time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack define how far workspaces may exceed their quotas:
	// all daemons together run at most (rate x QuotaWindow + burst) x (1 + QuotaOverage) +
	// QuotaSlack requests in every window. If QuotaWindow is 0, no quota is enforced.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
}

// Feeds are the objects in the platform's store that a daemon watches.
type Feeds struct {
	// Store is the platform's store.
	Store feed.Store
	// ConfigKind and ConfigName identify the object with the configuration.
	ConfigKind, ConfigName string
	// DecodeConfig decodes and compiles the configuration.
	DecodeConfig func(spec []byte) (*route.Table, error)
	// TargetsKind is the kind of the objects that describe targets.
	TargetsKind string
	// DecodeTarget decodes an object that describes a target.
	DecodeTarget feed.DecodeTarget
	// EvacuationsKind is the kind of the objects that evacuate the availability zones which they
	// are named after. It is watched only if Settings.EvacuateTime is set.
	EvacuationsKind string
}

// Platform is the environment in which a daemon runs. It is safe for concurrent use.
type Platform interface {
	// Dialect returns the implementation of the deployment's headers.
	Dialect() gateway.Dialect
	// Feeds returns the objects that the daemon watches.
	Feeds() Feeds
	// Objects returns the store of the daemon's own objects.
	Objects() ObjectStore
	// DirectoryResponse returns the response to a caller that asks for the advertised entry
	// VMs, which it may cache for the given TTL.
	DirectoryResponse(request *fasthttp.Request, advertised []string, ttl time.Duration) *fasthttp.Response
	// ReadinessResponse returns the response to a readiness check.
	ReadinessResponse(request *fasthttp.Request, serving bool) *fasthttp.Response
	// Reload reads the settings again and returns the log level.
	Reload() (level string, err error)
}
