// Package settings defines the process settings of an entry daemon.
package settings

import (
	"net"
	"strconv"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// Settings are the settings of one entry daemon. They are read once, at start.
type Settings struct {
	// Name is the VM's name in the platform's list.
	Name string `json:"name" validate:"required,max=64,identifier"`
	// IP is the VM's own address.
	IP string `json:"ip" validate:"required,ip"`
	// Region is the VM's region.
	Region string `json:"region" validate:"required,max=64,identifier"`
	// Zone is the VM's availability zone.
	Zone string `json:"zone" validate:"required,max=64,identifier"`
	// CallerPort serves callers. It is the same on all entry VMs. Default 8080.
	CallerPort int `json:"caller_port" validate:"min=1,max=65535"`
	// PeerPort serves other entry daemons. It is the same on all entry VMs.
	// Default 7946.
	PeerPort int `json:"peer_port" validate:"min=1,max=65535"`
	// AdminPort serves operators: metrics, readiness and the dump, without
	// authentication. Default 9090.
	AdminPort int `json:"admin_port" validate:"min=1,max=65535"`
	// APIPort serves the administration API. Default 9091.
	APIPort int `json:"api_port" validate:"min=1,max=65535"`
	// APIAdminTokenSHA256 is the SHA-256 of the administrators' token of the
	// administration API, in hex. Without it nobody is administrator. Optional.
	APIAdminTokenSHA256 string `json:"api_admin_token_sha256" validate:"omitempty,len=64,hexadecimal"`
	// Platform is the "ip:port" of the platform's object API.
	Platform string `json:"platform" validate:"required,hostname_port"`
	// PlatformTimeoutMs bounds a call to the platform, in milliseconds.
	// Default 1000.
	PlatformTimeoutMs int `json:"platform_timeout_ms" validate:"min=1,max=60000"`
	// PeerKey is the key that all entry daemons share. It authenticates the inner
	// protocol.
	PeerKey string `json:"peer_key" validate:"required,min=16,max=256"`
	// PeerKeyAlso is accepted from other entry daemons besides PeerKey, while the
	// key is replaced. Optional.
	PeerKeyAlso string `json:"peer_key_also" validate:"omitempty,min=16,max=256"`
	// Peers are IPs of other entry VMs, asked for members and configuration while
	// the platform is unavailable at start. Optional.
	Peers []string `json:"peers" validate:"max=64,dive,ip"`
	// EventLoops is the number of event loops that serve callers. Default 2.
	EventLoops int `json:"event_loops" validate:"min=1,max=64"`
	// KeepSeconds is how long callers keep the list of entry VMs, in seconds.
	// Default 5.
	KeepSeconds int `json:"keep_seconds" validate:"min=1,max=3600"`
	// MaxHeaderBytes bounds the header of a request, in bytes. Default 16384.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"min=512,max=1048576"`
	// MaxBodyBytes bounds the body of a request, in bytes. Default 1048576.
	MaxBodyBytes int `json:"max_body_bytes" validate:"min=1,max=67108864"`
	// RecordGroupMs is how long a non-idempotent request waits for others to share
	// the write of their at-most-once records, in milliseconds. With 0, those that
	// arrive during a write share the next one. Default 0.
	RecordGroupMs int `json:"record_group_ms" validate:"min=0,max=1000"`
	// RecordWritesPerSecond is the number of platform writes that the entry VMs
	// together may spend on at-most-once records, a second. Default 200.
	RecordWritesPerSecond int `json:"record_writes_per_second" validate:"min=1,max=100000"`
	// RecordReadsPerSecond is the same for platform reads. Default 400.
	RecordReadsPerSecond int `json:"record_reads_per_second" validate:"min=1,max=100000"`
	// RecordSlots is the number of record objects on the platform. It is the same
	// on all entry VMs. Default 4096.
	RecordSlots int `json:"record_slots" validate:"min=1,max=1000000"`
	// MaxCallerConnections bounds the open connections of callers. Default 10000.
	MaxCallerConnections int `json:"max_caller_connections" validate:"min=1,max=1000000"`
	// MaxBufferedBytes bounds the bytes of requests that have arrived in part,
	// over all connections. Default 67108864.
	MaxBufferedBytes int `json:"max_buffered_bytes" validate:"min=1048576,max=17179869184"`
	// LogLevel is one of debug, info, warning and error. Default info.
	LogLevel string `json:"log_level" validate:"oneof=debug info warning error"`
}

// Default returns the settings with every default filled in.
func Default() *Settings {
	return &Settings{
		CallerPort:            8080,
		PeerPort:              7946,
		AdminPort:             9090,
		APIPort:               9091,
		PlatformTimeoutMs:     1000,
		EventLoops:            2,
		KeepSeconds:           5,
		MaxHeaderBytes:        16 << 10,
		MaxBodyBytes:          1 << 20,
		RecordWritesPerSecond: 200,
		RecordReadsPerSecond:  400,
		RecordSlots:           4096,
		MaxCallerConnections:  10_000,
		MaxBufferedBytes:      64 << 20,
		LogLevel:              "info",
	}
}

// Parse decodes settings over the defaults and checks them. The error is a
// *strictjson.InvalidError.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	if err := strictjson.Unmarshal(data, s); err != nil {
		return nil, err
	}
	return s, nil
}

// CallerAddress returns the "ip:port" that serves callers.
func (s *Settings) CallerAddress() string { return s.address(s.CallerPort) }

// AdminAddress returns the "ip:port" that serves operators.
func (s *Settings) AdminAddress() string { return s.address(s.AdminPort) }

// APIAddress returns the "ip:port" that serves the administration API.
func (s *Settings) APIAddress() string { return s.address(s.APIPort) }

// PeerAddress returns the "ip:port" that serves other entry daemons.
func (s *Settings) PeerAddress() string { return s.address(s.PeerPort) }

func (s *Settings) address(port int) string { return net.JoinHostPort(s.IP, strconv.Itoa(port)) }

// Keep returns KeepSeconds as a duration.
func (s *Settings) Keep() time.Duration { return time.Duration(s.KeepSeconds) * time.Second }

// PlatformTimeout returns PlatformTimeoutMs as a duration.
func (s *Settings) PlatformTimeout() time.Duration {
	return time.Duration(s.PlatformTimeoutMs) * time.Millisecond
}
