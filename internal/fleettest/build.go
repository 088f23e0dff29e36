package fleettest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build builds the program into a folder, and gives its path.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "quincerail")
	return path, build(path)
}

func build(path string, flags ...string) error {
	args := append([]string{"build", "-buildvcs=false", "-o", path}, flags...)
	out, err := exec.CommandContext(context.Background(), "go", append(args, "quincerail.example/quincerail/cmd/quincerail")...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("fleettest: %w: %s", err, out)
	}
	return nil
}

// Edit is a change of one place of a source file, which must be there once.
type Edit struct{ File, Old, New string }

// BuildVariant builds another version of the program into a folder: the source
// with an edit, by the compiler's overlay; the files stay as they are.
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
		return "", fmt.Errorf("fleettest: %s has %q %d times, once wanted", e.File, e.Old, n)
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

// Main runs a package's tests (a *testing.M) with the program built for them,
// and gives their exit code.
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
