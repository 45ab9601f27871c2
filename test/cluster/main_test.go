// Package cluster tests what entry daemons do together, as separate processes:
// configuration, membership, leaving and outages of the platform.
package cluster

import (
	"os"
	"testing"

	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(fleet.RunTests(m, &binary)) }
