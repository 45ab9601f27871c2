package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func valid() map[string]any {
	return map[string]any{
		"name": "entry-1", "ip": "10.20.0.11", "region": "perth", "zone": "perth-a",
		"platform": "10.20.0.1:7000", "peer_key": "a key of 16 bytes",
	}
}

func TestParse(t *testing.T) {
	data, err := json.Marshal(valid())
	require.NoError(t, err)
	s, err := Parse(data)
	require.NoError(t, err)
	require.Equal(t, "10.20.0.11:8080", s.CallerAddress())
	require.Equal(t, "10.20.0.11:7946", s.PeerAddress())
	require.Equal(t, "10.20.0.11:9090", s.AdminAddress())
	require.Equal(t, "10.20.0.11:9091", s.APIAddress())
}

func TestParseRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		field   string
		value   any
		problem string
	}{
		"unknown field":   {"caller_prot", 1, "caller_prot: unknown field"},
		"empty name":      {"name", "", "name: must be given"},
		"host name as IP": {"ip", "entry.example", `ip: is "entry.example", must be an IP address`},
		"port 0":          {"caller_port", 0, "caller_port: is 0, must be at least 1"},
		"port too high":   {"admin_port", 65536, "admin_port: is 65536, must be at most 65535"},
		"port as text":    {"peer_port", "7946", "peer_port: must be a whole number, not text"},
		"fraction":        {"event_loops", 1.5, "event_loops: must be a whole number, not such a number"},
		"platform":        {"platform", "10.20.0.1", `platform: is "10.20.0.1", must be ip:port`},
		"short key":       {"peer_key", "short", "peer_key: has 5 characters, must have at least 16"},
		"log level":       {"log_level", "loud", `log_level: is "loud", must be one of: debug info warning error`},
		"short hash":      {"api_admin_token_sha256", "00ff", "api_admin_token_sha256: has 4 characters, must have exactly 64"},
		"token as hash":   {"api_admin_token_sha256", strings.Repeat("z", 64), "api_admin_token_sha256: must be hexadecimal digits"},
		"null":            {"keep_seconds", nil, "keep_seconds: is 0, must be at least 1"},
	} {
		t.Run(name, func(t *testing.T) {
			fields := valid()
			fields[c.field] = c.value
			data, err := json.Marshal(fields)
			require.NoError(t, err)
			_, err = Parse(data)
			require.EqualError(t, err, c.problem)
		})
	}
	for document, problem := range map[string]string{
		``:                      "not valid JSON",
		`[]`:                    "must be an object, not a list",
		`{"name":"a"} trailing`: "not valid JSON",
		`{"name":"a","name":"b","ip":"10.0.0.1"}`: "name: is given twice",
	} {
		_, err := Parse([]byte(document))
		require.ErrorContains(t, err, problem, document)
	}
}
