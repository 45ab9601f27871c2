package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// BuildError reports that the program under test doesn't build.
type BuildError struct {
	Output string
	Cause  error
}

// Error implements error.
func (e *BuildError) Error() string { return fmt.Sprintf("fleet: %v: %s", e.Cause, e.Output) }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }

// Build builds the program under test into dir and returns its path. The working
// directory has to be two levels below the module's. The error is a *BuildError.
func Build(dir string) (string, error) {
	binary := filepath.Join(dir, "poplarwheel")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/poplarwheel").CombinedOutput()
	if err != nil {
		return "", &BuildError{Output: string(output), Cause: err}
	}
	return binary, nil
}

// RunTests builds the program under test, sets binary to its path, runs the tests
// of a package and returns the exit code.
func RunTests(m *testing.M, binary *string) int {
	dir, err := os.MkdirTemp("", "poplarwheel-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if *binary, err = Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
