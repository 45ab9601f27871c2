package gatewayd

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

// A name in place of a peer's IP address would be looked up before each heartbeat, which delays
// those to all other daemons.
func TestEntryVMWithoutIPAddressIsLeftOut(t *testing.T) {
	encode := func(caller, peer string) feed.Object {
		member := heartbeat.Member{Name: "vm-1", CallerAddress: caller, PeerAddress: peer}
		spec, err := json.Marshal(EntryVMDocument{Zone: "z-a", Member: member})
		require.NoError(t, err)
		return feed.Object{Name: "vm-1", Spec: spec}
	}
	decode := func(object feed.Object) []heartbeat.Member {
		return decodeEntryVMs([]feed.Object{object}, logging.Discard())
	}
	require.Len(t, decode(encode("10.0.0.1:80", "10.0.0.1:81")), 1)
	for _, odd := range []string{"", "10.0.0.1", "10.0.0.1:65536", "10.0.0.1:0", "vm-1:80", "0.0.0.0:80"} {
		require.Empty(t, decode(encode(odd, "10.0.0.1:81")), "caller address %q", odd)
		require.Empty(t, decode(encode("10.0.0.1:80", odd)), "peer address %q", odd)
	}
	for _, spec := range []string{"", "null", "5", strings.Repeat("[", 20) + strings.Repeat("]", 20), `{"member":{"born":1e999}}`} {
		require.Empty(t, decode(feed.Object{Name: "vm-1", Spec: []byte(spec)}), spec)
	}
}

// Guards against a form of stored objects that daemons of other versions can't find or read.
func TestStoredObjectsKeepTheirForm(t *testing.T) {
	require.Equal(t, "poplarwheel-entries", KindEntryVMs)
	require.Equal(t, "poplarwheel-quarantine", KindQuarantine)
	require.Equal(t, "ff", objectName(quarantine.Content(255)))
	member := heartbeat.Member{Name: "vm-1", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81"}
	spec, err := json.Marshal(EntryVMDocument{Zone: "z-a", Member: member})
	require.NoError(t, err)
	require.Equal(t, `{"zone":"z-a","member":{"name":"vm-1","front":"10.0.0.1:80","peer":"10.0.0.1:81",`+
		`"born":0,"state":"","capacity":0,"load":0}}`, string(spec))
	spec, err = json.Marshal(quarantine.Suspect{Content: 255, Service: "stock", Type: "read", Quarantined: true})
	require.NoError(t, err)
	require.Equal(t, `{"content":"255","service":"stock","type":"read","deaths":null,"quarantined":true}`, string(spec))
}
