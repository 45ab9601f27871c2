package docs

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// platformLines bounds the adapter to the users' platform, tests and stand-ins apart.
const platformLines = 1500

// platformNames are names of the users' platform that only its adapter may know.
var platformNames = []string{
	"Poplarwheel-Request-Id", "Poplarwheel-Deadline-Ms", "Poplarwheel-Server-Signature",
	"Poplarwheel-Target-Instance", "Poplarwheel-Instance-Id", "Poplarwheel-Server-Load",
	"Poplarwheel-Not-Executed", "POPLARWHEEL_BOOT", "/-/readiness", "/-/resolve", "/-/objects",
	`"pathPrefix`, `"timeoutS`, `"targetLatencyS`, `"trafficSplit`, `"maxAttempts`, `"healthCheckPath`,
	`"maxConnections`, `"coldRemainingS`, `"staleRead`, `"waitMs`, `"ttlS`, `"atRev`, `"non_idempotent`,
	`"graceS`, `"budgetRatio`, `"budgetExtraTries`,
	"Poplarwheel-Tenant-Name", `"tenants`, `"apiKeys`, `"ratePerS`, `"allowAnonymous`, `"coldStartS`, `"coldPerS`,
}

// sources calls visit with each Go file of the project.
func sources(t *testing.T, visit func(path string, source []byte)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		visit(filepath.ToSlash(relative), source)
		return err
	})
	require.NoError(t, err)
}

func TestOnlyTheAdapterKnowsThePlatformsNames(t *testing.T) {
	adapter := 0
	sources(t, func(path string, source []byte) {
		if strings.HasPrefix(path, "platform/") {
			adapter++
			return
		}
		if path == "test/docs/platform_test.go" {
			return
		}
		for _, name := range platformNames {
			require.NotContains(t, string(source), name, path)
		}
	})
	require.NotZero(t, adapter)
}

func TestTheAdapterIsSmall(t *testing.T) {
	lines := 0
	sources(t, func(path string, source []byte) {
		if filepath.Dir(path) == "platform" && !strings.HasSuffix(path, "_test.go") {
			lines += bytes.Count(source, []byte{'\n'})
		}
	})
	require.NotZero(t, lines)
	require.Less(t, lines, platformLines)
}
