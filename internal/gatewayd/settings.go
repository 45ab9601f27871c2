package gatewayd

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// Settings are those of one daemon.
type Settings struct {
	// Name is the VM's name, IP its own address, Zone its availability zone.
	Name, IP, Zone string
	// Zones are the availability zones of the deployment.
	Zones []string
	// Front serves callers, Directory those who ask for entry VMs, Ready the platform's
	// checks, Peer other daemons, by datagrams and connections: "ip:port" each.
	Front, Directory, Ready, Peer string
	// PeerKey is the key that daemons prove to one another on connections.
	PeerKey string
	// AdminPort serves metrics and the dump; 0 for none.
	AdminPort int
	// EntrySet is the number of entry VMs of a zone that callers are sent to, at least;
	// there are more while the zone's load asks for them.
	EntrySet int
	// Resources are what the VM gives the daemon.
	Resources Resources
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// MaxKeep bounds the time for which callers keep a list of entry VMs.
	MaxKeep time.Duration
	// RetryWindow, RetryRatio and RetryFixed bound the sends beyond the first of each
	// request, for all daemons: RetryRatio x requests + RetryFixed a window.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryFixed  float64
	// ProbeRate bounds the questions to each target for its load, of all daemons
	// together, a second. 0 is no bound.
	ProbeRate float64
}

// Feeds are what a daemon follows in the platform's store.
type Feeds struct {
	// Store holds the objects.
	Store feed.Store
	// ConfigKind and ConfigName name the object with the configuration.
	ConfigKind, ConfigName string
	// DecodeConfig compiles its content.
	DecodeConfig func(spec []byte) (*route.Table, error)
	// TargetsKind is the kind of the targets' entries.
	TargetsKind string
	// DecodeTarget reads one.
	DecodeTarget feed.DecodeTarget
}

// Platform is what a daemon runs on. It is safe for concurrent use.
type Platform interface {
	// Dialect is how callers and targets speak.
	Dialect() gateway.Dialect
	// Feeds are what the daemon follows.
	Feeds() Feeds
	// Enter enters the daemon where others of its zone look, Leave takes it out.
	Enter(member heartbeat.Member) error
	Leave() error
	// Entered returns who is entered, in all zones, as it was some seconds ago at worst.
	Entered() ([]heartbeat.Member, error)
	// Quarantine keeps a content that crashes targets over restarts of all daemons,
	// Quarantined returns those that are kept, Release forgets one.
	Quarantine(suspect quarantine.Suspect) error
	Release(content quarantine.Content) error
	Quarantined() ([]quarantine.Suspect, error)
	// Directory answers who asks for entry VMs, which may be kept for a time.
	Directory(request *fasthttp.Request, named []string, keep time.Duration) *fasthttp.Response
	// Readiness answers a check.
	Readiness(request *fasthttp.Request, serving bool) *fasthttp.Response
	// Reload reads the settings again and returns the log level.
	Reload() (level string, err error)
}
