package fleettest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build builds the program into a folder and returns its path.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "quincerail")
	return path, build(path)
}

// build runs go build for the program with additional flags.
func build(path string, flags ...string) error {
	args := append([]string{"build", "-buildvcs=false", "-o", path}, flags...)
	out, err := exec.CommandContext(context.Background(), "go", append(args, "quincerail.example/quincerail/cmd/quincerail")...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("fleettest: go build: %w: %s", err, out)
	}
	return nil
}

// Edit replaces the text Old, which must occur exactly once in a source file, by New.
type Edit struct{ File, Old, New string }

// BuildVariant builds the program with an edit of its source into a folder and returns its
// path. It uses the compiler's overlay, so the source file itself doesn't change.
func BuildVariant(dir, name string, e Edit) (string, error) {
	file, err := filepath.Abs(e.File)
	if err != nil {
		return "", fmt.Errorf("fleettest: %w", err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("fleettest: %w", err)
	}
	if n := strings.Count(string(text), e.Old); n != 1 {
		return "", fmt.Errorf("fleettest: %s contains %q %d times, want 1", e.File, e.Old, n)
	}
	edited, overlay := filepath.Join(dir, name+".go"), filepath.Join(dir, name+".json")
	if err := os.WriteFile(edited, []byte(strings.Replace(string(text), e.Old, e.New, 1)), 0o600); err != nil {
		return "", fmt.Errorf("fleettest: %w", err)
	}
	if err := writeJSON(overlay, map[string]any{"Replace": map[string]string{file: edited}}); err != nil {
		return "", err
	}
	path := filepath.Join(dir, name)
	return path, build(path, "-overlay", overlay)
}

// Main builds the program for a package's tests (a *testing.M), stores its path in binary,
// runs the tests and returns their exit code.
func Main(tests interface{ Run() int }, binary *string) int {
	dir, err := os.MkdirTemp("", "quincerail")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	if *binary, err = Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return tests.Run()
}
