package dispatch

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests and lengthens their runs, unless
// flags override either.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
