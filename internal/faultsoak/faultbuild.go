package faultsoak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// FaultPlan is the set of faults that the fault layer of a process injects. Its JSON form
// is the faultPlan of cmd/quincerail.
type FaultPlan struct {
	Seed        uint64      `json:"seed"`
	Rules       []FaultRule `json:"rules"`
	WallSeconds int64       `json:"wall_seconds"` // added to the process's Unix time
}

// FaultRule makes a system call fail with Errno. If Errno is 0, the call does not fail, but
// transfers at most a random number of bytes between 1 and the requested number.
type FaultRule struct {
	Call        string        `json:"call"`  // read, write, accept4, connect, socket, fsync
	Files       bool          `json:"files"` // applies to regular files; otherwise to other descriptors
	Probability float64       `json:"probability"`
	Errno       syscall.Errno `json:"errno"`
	Burst       int           `json:"burst"` // number of further calls that fail after a failed one
}

// sourceEdit replaces text in a source file of the standard library, to call the fault
// layer.
type sourceEdit struct{ file, old, new string }

// sourceEdits lists the edits. Each old text must occur exactly once in its file.
var sourceEdits = []sourceEdit{
	{
		"time/time.go", "func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n",
		"// FaultWallSeconds is added to the Unix time that Now returns.\nvar FaultWallSeconds int64\n\n" +
			"func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n\tsec += FaultWallSeconds\n",
	},
	{
		"syscall/syscall_unix.go", "func Read(fd int, p []byte) (n int, err error) {\n",
		"// FaultHook is called before a system call. It returns the error to fail with, or 0, and the size limit.\nvar FaultHook func(call string, fd, size int) (errno Errno, most int)\n\n" +
			"func Read(fd int, p []byte) (n int, err error) {\n" + ioHookCode("read"),
	},
	{
		"syscall/syscall_unix.go", "func Write(fd int, p []byte) (n int, err error) {\n",
		"func Write(fd int, p []byte) (n int, err error) {\n" + ioHookCode("write"),
	},
	{
		"syscall/syscall_unix.go", "func Connect(fd int, sa Sockaddr) (err error) {\n",
		"func Connect(fd int, sa Sockaddr) (err error) {\n" + errorHookCode("connect", "fd", "return errno"),
	},
	{
		"syscall/syscall_unix.go", "func Socket(domain, typ, proto int) (fd int, err error) {\n",
		"func Socket(domain, typ, proto int) (fd int, err error) {\n" + errorHookCode("socket", "-1", "return -1, errno"),
	},
	{
		"syscall/zsyscall_linux_" + runtime.GOARCH + ".go", "func Fsync(fd int) (err error) {\n",
		"func Fsync(fd int) (err error) {\n" + errorHookCode("fsync", "fd", "return errno"),
	},
	{
		"syscall/syscall_linux.go", "func Accept4(fd int, flags int) (nfd int, sa Sockaddr, err error) {\n",
		"func Accept4(fd int, flags int) (nfd int, sa Sockaddr, err error) {\n" + errorHookCode("accept4", "fd", "return -1, nil, errno"),
	},
}

// ioHookCode generates the code that makes a read or write fail or transfer fewer bytes.
func ioHookCode(call string) string {
	return fmt.Sprintf("\tif FaultHook != nil && len(p) > 0 {\n\t\terrno, most := FaultHook(%q, fd, len(p))\n"+
		"\t\tif errno != 0 {\n\t\t\treturn -1, errno\n\t\t}\n\t\tp = p[:most]\n\t}\n", call)
}

// errorHookCode generates the code that makes any other call fail.
func errorHookCode(call, fd, fail string) string {
	return fmt.Sprintf("\tif FaultHook != nil {\n\t\tif errno, _ := FaultHook(%q, %s, 0); errno != 0 {\n\t\t\t%s\n\t\t}\n\t}\n",
		call, fd, fail)
}

// BuildWithFaults builds the program with the fault layer into a folder and returns its
// path. It sets the build tag faultlayer, and adds hooks to the standard library with an
// overlay of the go command, which leaves the files of the toolchain unchanged.
func BuildWithFaults(dir string) (string, error) {
	edited, err := editedSources()
	if err != nil {
		return "", err
	}
	overlay, err := writeOverlay(dir, edited)
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "quincerail-faults")
	build := exec.CommandContext(context.Background(), "go", "build", "-buildvcs=false", "-tags", "faultlayer",
		"-overlay", overlay, "-o", program, "quincerail.example/quincerail/cmd/quincerail")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("faultsoak: %w: %s", err, out)
	}
	return program, nil
}

// editedSources returns the edited files of the standard library: their text by path.
func editedSources() (map[string]string, error) {
	root, err := exec.CommandContext(context.Background(), "go", "env", "GOROOT").Output()
	if err != nil {
		return nil, fmt.Errorf("faultsoak: %w", err)
	}
	edited := map[string]string{}
	for _, h := range sourceEdits {
		path := filepath.Join(strings.TrimSpace(string(root)), "src", filepath.FromSlash(h.file))
		text, ok := edited[path]
		if !ok {
			source, err := os.ReadFile(path)
			if err != nil {
				return nil, fmt.Errorf("faultsoak: %w", err)
			}
			text = string(source)
		}
		if n := strings.Count(text, h.old); n != 1 {
			return nil, fmt.Errorf("faultsoak: %s contains %q %d times, want 1", h.file, h.old, n)
		}
		edited[path] = strings.Replace(text, h.old, h.new, 1)
	}
	return edited, nil
}

// writeOverlay writes the edited files and the overlay's JSON file, and returns the path of
// the latter.
func writeOverlay(dir string, edited map[string]string) (string, error) {
	overlay := map[string]map[string]string{"Replace": {}}
	for path, text := range edited {
		replacement := filepath.Join(dir, strings.TrimSuffix(filepath.Base(path), ".go")+"_faults.go")
		if err := os.WriteFile(replacement, []byte(text), 0o600); err != nil {
			return "", fmt.Errorf("faultsoak: %w", err)
		}
		overlay["Replace"][path] = replacement
	}
	list, err := json.Marshal(overlay)
	if err != nil {
		return "", fmt.Errorf("faultsoak: %w", err)
	}
	path := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(path, list, 0o600); err != nil {
		return "", fmt.Errorf("faultsoak: %w", err)
	}
	return path, nil
}

// SetFaults replaces the fault plan of the current process. The process must be running, and
// its program must have been built by BuildWithFaults.
func (n *Node) SetFaults(plan FaultPlan) error {
	dialer := net.Dialer{Timeout: controlTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", n.FaultsAddress())
	if err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(controlTimeout)) // an error means that the call may wait longer
	if err := json.NewEncoder(conn).Encode(plan); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	if answer != "done\n" {
		return fmt.Errorf("faultsoak: the fault layer rejected the plan: %q", answer)
	}
	return nil
}
