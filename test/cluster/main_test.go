// Package cluster tests what entry daemons do together, as separate processes:
// configuration, membership, leaving and outages of the platform.
package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "poplarwheel-cluster")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "poplarwheel")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/poplarwheel")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, output))
	}
	return m.Run()
}
