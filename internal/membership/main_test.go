package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
