package settingsfile

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// valid holds settings with the required fields only.
const valid = `{"name":"vm-1","ip":"10.0.0.1","zone":"z-a","front":"10.0.0.1:1","directory":"10.0.0.1:2",` +
	`"ready":"10.0.0.1:3","store":"10.0.0.2:4","peer_ports":[5,6]}`

// Guards against defaults that change with the place of the code.
func TestOmittedSettingsHaveDefaults(t *testing.T) {
	settings, err := ParseSettings([]byte(valid))
	require.NoError(t, err)
	daemon := settings.Daemon(DefaultBounds())
	require.Equal(t, "info", settings.LogLevel)
	require.Equal(t, 1, daemon.MinEntryVMs)
	require.Equal(t, "10.0.0.2:4", daemon.PeerKey)
	require.Equal(t, "10.0.0.1:5", daemon.PeerAddress)
	require.Zero(t, daemon.AdminPort)
	require.Zero(t, daemon.EvacuateTime)
}

// Guards against invalid settings with which a daemon starts, and errors that don't say which
// field to mend.
func TestInvalidFieldIsNamed(t *testing.T) {
	for field, replacement := range map[string][2]string{
		"document":        {`{`, `[`},
		"name":            {`"vm-1"`, `""`},
		"zone":            {`"z-a"`, `""`},
		"front":           {`"10.0.0.1:1"`, `"x"`},
		"directory":       {`"10.0.0.1:2"`, `"x"`},
		"ready":           {`"10.0.0.1:3"`, `"x"`},
		"store":           {`"10.0.0.2:4"`, `"x"`},
		"peer_ports":      {`[5,6]`, `[]`},
		"entry_set":       {`}`, `,"entry_set":0}`},
		"processor_share": {`}`, `,"processor_share":-1}`},
		"processor_speed": {`}`, `,"processor_speed":-1}`},
		"link_mbps":       {`}`, `,"link_mbps":-1}`},
		"max_files":       {`}`, `,"max_files":-1}`},
		"memory_mb":       {`}`, `,"memory_mb":-1}`},
		"hedge_ratio":     {`}`, `,"hedge_ratio":1.5}`},
	} {
		_, err := ParseSettings([]byte(strings.Replace(valid, replacement[0], replacement[1], 1)))
		var invalid *SettingsError
		require.ErrorAs(t, err, &invalid, field)
		require.Equal(t, field, invalid.Field)
		require.ErrorContains(t, err, "settings: "+field+": ")
	}
}
