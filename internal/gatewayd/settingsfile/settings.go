// Package settingsfile reads the settings file of a gateway daemon. The names inside its bounds
// are those of the platform, which decodes them.
package settingsfile

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/poplarwheel/poplarwheel/internal/gatewayd"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Settings is the settings file of one daemon; deploy/settings.json.tmpl is its template.
type Settings struct {
	// Name is the name of the VM that runs the daemon.
	Name string `json:"name"`
	// IP is the address of the VM.
	IP string `json:"ip"`
	// Region and Zone are the region and the availability zone of the VM.
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Zones maps each availability zone of the deployment to its region.
	Zones map[string]string `json:"zones"`
	// CallerAddress is the listen address for requests of callers, DirectoryAddress that
	// for callers that resolve entry VMs, and ReadinessAddress that for readiness checks,
	// each as "ip:port".
	CallerAddress    string `json:"front"`
	DirectoryAddress string `json:"directory"`
	ReadinessAddress string `json:"ready"`
	// PeerPorts is the range of ports for traffic between daemons: the first and the
	// last one. The daemon uses the first.
	PeerPorts []int `json:"peer_ports"`
	// PeerKey is the shared key by which daemons authenticate one another. Default: the
	// value of StoreAddress, which separates deployments from one another but is no secret.
	PeerKey string `json:"peer_key"`
	// StoreAddress is the address of the platform's metadata store, as "ip:port".
	StoreAddress string `json:"store"`
	// Bounds holds the limits that apply to the whole deployment, by the names that the
	// platform gives them.
	Bounds map[string]json.RawMessage `json:"bounds"`
	// LogLevel is one of debug, info, warning and error. Default: info.
	LogLevel string `json:"log_level"`
	// MinEntryVMs is the minimum number of entry VMs of a zone that callers are sent to.
	// There are more while the load of the zone requires it. Default: 1.
	MinEntryVMs int `json:"entry_set"`
	// ProcessorShare is the share of a processor core that the VM may use.
	// ProcessorSpeed is the speed of the core relative to the usual one, which is 1.
	// Default: 0, unknown.
	ProcessorShare float64 `json:"processor_share"`
	ProcessorSpeed float64 `json:"processor_speed"`
	// LinkMbps is the network bandwidth of the VM in Mbit/s. Default: 0, unknown.
	LinkMbps float64 `json:"link_mbps"`
	// MaxFiles is the maximum number of open files and sockets of the process. Default:
	// 0, no limit.
	MaxFiles int `json:"max_files"`
	// MemoryMB is the memory of the VM in MB. Default: 0, unknown.
	MemoryMB int `json:"memory_mb"`
	// AdminPort is the port that serves metrics and the state dump. Default: 0, none.
	AdminPort int `json:"admin_port"`
	// HedgeRatio is the maximum fraction of a service's requests that are sent to a second
	// target because the first is slow. Default: 0, no limit other than the retry budget, and
	// only attempts at targets that are known to be slow are hedged.
	HedgeRatio float64 `json:"hedge_ratio"`
}

// defaultMinEntryVMs is the default of Settings.MinEntryVMs.
const defaultMinEntryVMs = 1

// Bounds holds the limits of the deployment that the daemon enforces.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL when the platform stops the daemon.
	Grace time.Duration
	// RetryWindow, RetryRatio and RetryFixed define the retry budget: in each window,
	// requests may be sent again at most RetryRatio x (number of requests) + RetryFixed
	// times.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryFixed  float64
	// ProbeRate is the maximum number of load probes to each target per second.
	ProbeRate float64
	// MaxDirectoryTTL is the maximum time for which callers may cache a list of entry VMs.
	MaxDirectoryTTL time.Duration
	// ColdSlack is the number of requests beyond its rate that a cold target bears in a second.
	ColdSlack float64
	// EvacuateTime is the time within which an evacuation takes effect; 0 means there are none.
	EvacuateTime time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack define how far workspaces may exceed their quotas.
	// Without QuotaWindow no quota is enforced.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
}

// DefaultBounds returns the values of the bounds that the settings omit.
func DefaultBounds() Bounds {
	return Bounds{
		Grace:           6 * time.Second,
		RetryWindow:     10 * time.Second,
		RetryRatio:      0.1,
		RetryFixed:      10,
		ProbeRate:       40,
		MaxDirectoryTTL: 5 * time.Second,
		ColdSlack:       8,
		QuotaOverage:    0.1,
		QuotaSlack:      20,
	}
}

// ParseSettings decodes settings and validates all but the bounds. The error is a
// *SettingsError.
func ParseSettings(data []byte) (*Settings, error) {
	s := &Settings{LogLevel: "info", MinEntryVMs: defaultMinEntryVMs}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, &SettingsError{Field: "document", Problem: err.Error()}
	}
	for field, value := range map[string]string{"name": s.Name, "zone": s.Zone} {
		if value == "" {
			return nil, &SettingsError{Field: field, Problem: "is missing"}
		}
	}
	for field, value := range map[string]string{
		"front": s.CallerAddress, "directory": s.DirectoryAddress, "ready": s.ReadinessAddress, "store": s.StoreAddress,
	} {
		if _, _, err := net.SplitHostPort(value); err != nil {
			return nil, &SettingsError{Field: field, Problem: err.Error()}
		}
	}
	if len(s.PeerPorts) == 0 {
		return nil, &SettingsError{Field: "peer_ports", Problem: "is missing"}
	}
	if s.MinEntryVMs < 1 {
		return nil, &SettingsError{Field: "entry_set", Problem: "must be at least 1"}
	}
	for field, value := range map[string]float64{
		"processor_share": s.ProcessorShare, "processor_speed": s.ProcessorSpeed,
		"link_mbps": s.LinkMbps, "max_files": float64(s.MaxFiles), "memory_mb": float64(s.MemoryMB),
	} {
		if value < 0 {
			return nil, &SettingsError{Field: field, Problem: "must not be negative"}
		}
	}
	if s.HedgeRatio < 0 || s.HedgeRatio > 1 {
		return nil, &SettingsError{Field: "hedge_ratio", Problem: "must be between 0 and 1"}
	}
	return s, nil
}

// Daemon converts the settings, with their decoded bounds, to those of the gateway daemon.
func (s *Settings) Daemon(bounds Bounds) gatewayd.Settings {
	return gatewayd.Settings{
		Name:             s.Name,
		IP:               s.IP,
		Zone:             s.Zone,
		Zones:            slices.Sorted(maps.Keys(s.Zones)),
		CallerAddress:    s.CallerAddress,
		DirectoryAddress: s.DirectoryAddress,
		ReadinessAddress: s.ReadinessAddress,
		PeerAddress:      s.PeerAddress(),
		PeerKey:          cmp.Or(s.PeerKey, s.StoreAddress),
		AdminPort:        s.AdminPort,
		MinEntryVMs:      s.MinEntryVMs,
		Resources: gatewayd.Resources{
			Cores:    s.ProcessorShare * s.ProcessorSpeed,
			LinkMbps: s.LinkMbps,
			MaxFiles: s.MaxFiles,
			MemoryMB: s.MemoryMB,
		},
		TerminationGrace: bounds.Grace,
		MaxDirectoryTTL:  bounds.MaxDirectoryTTL,
		RetryWindow:      bounds.RetryWindow,
		RetryRatio:       bounds.RetryRatio,
		RetryFixed:       bounds.RetryFixed,
		ProbeRate:        bounds.ProbeRate,
		HedgeRatio:       s.HedgeRatio,
		ColdSlack:        bounds.ColdSlack,
		EvacuateTime:     bounds.EvacuateTime,
		QuotaWindow:      bounds.QuotaWindow,
		QuotaOverage:     bounds.QuotaOverage,
		QuotaSlack:       bounds.QuotaSlack,
	}
}

// PeerAddress returns the address for datagrams between daemons, as "ip:port".
func (s *Settings) PeerAddress() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPorts[0])) }

// SettingsError reports an invalid field of the settings, or settings that can't be read.
type SettingsError struct {
	// Field is the name of the field, or of the file or environment variable.
	Field   string
	Problem string
}

// Error implements error.
func (e *SettingsError) Error() string {
	return Error.Wrap(fmt.Errorf("%s: %s", e.Field, e.Problem)).Error()
}
