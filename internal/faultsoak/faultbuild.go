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

// FaultPlan is what a process of a build with faults is told to suffer.
type FaultPlan struct {
	Seed        uint64      `json:"seed"`
	Rules       []FaultRule `json:"rules"`
	WallSeconds int64       `json:"wall_seconds"` // by which its Unix time is off
}

// FaultRule has a system call fail, or come short where Errno is 0.
type FaultRule struct {
	Call        string        `json:"call"`  // read, write, accept4, connect, socket, fsync
	Files       bool          `json:"files"` // of files, else of sockets
	Probability float64       `json:"probability"`
	Errno       syscall.Errno `json:"errno"`
	Burst       int           `json:"burst"` // further calls that fail after one did
}

// hook is an edit of the standard library's source that calls the fault layer.
type hook struct{ file, old, new string }

// hooks lists the edits. Each old text stands in its file once.
var hooks = []hook{
	{
		"time/time.go", "func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n",
		"// FaultWallSeconds is by how much Unix time is off.\nvar FaultWallSeconds int64\n\n" +
			"func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n\tsec += FaultWallSeconds\n",
	},
	{
		"syscall/syscall_unix.go", "func Read(fd int, p []byte) (n int, err error) {\n",
		"// FaultHook is asked before a system call.\nvar FaultHook func(call string, fd, size int) (errno Errno, most int)\n\n" +
			"func Read(fd int, p []byte) (n int, err error) {\n" + ioHook("read"),
	},
	{
		"syscall/syscall_unix.go", "func Write(fd int, p []byte) (n int, err error) {\n",
		"func Write(fd int, p []byte) (n int, err error) {\n" + ioHook("write"),
	},
	{
		"syscall/syscall_unix.go", "func Connect(fd int, sa Sockaddr) (err error) {\n",
		"func Connect(fd int, sa Sockaddr) (err error) {\n" + plainHook("connect", "fd", "return errno"),
	},
	{
		"syscall/syscall_unix.go", "func Socket(domain, typ, proto int) (fd int, err error) {\n",
		"func Socket(domain, typ, proto int) (fd int, err error) {\n" + plainHook("socket", "-1", "return -1, errno"),
	},
	{
		"syscall/zsyscall_linux_" + runtime.GOARCH + ".go", "func Fsync(fd int) (err error) {\n",
		"func Fsync(fd int) (err error) {\n" + plainHook("fsync", "fd", "return errno"),
	},
	{
		"syscall/syscall_linux.go", "func Accept4(fd int, flags int) (nfd int, sa Sockaddr, err error) {\n",
		"func Accept4(fd int, flags int) (nfd int, sa Sockaddr, err error) {\n" + plainHook("accept4", "fd", "return -1, nil, errno"),
	},
}

// ioHook is the code that lets a read or write fail or come short.
func ioHook(call string) string {
	return fmt.Sprintf("\tif FaultHook != nil && len(p) > 0 {\n\t\terrno, most := FaultHook(%q, fd, len(p))\n"+
		"\t\tif errno != 0 {\n\t\t\treturn -1, errno\n\t\t}\n\t\tp = p[:most]\n\t}\n", call)
}

// plainHook is the code that lets another call fail.
func plainHook(call, fd, fail string) string {
	return fmt.Sprintf("\tif FaultHook != nil {\n\t\tif errno, _ := FaultHook(%q, %s, 0); errno != 0 {\n\t\t\t%s\n\t\t}\n\t}\n",
		call, fd, fail)
}

// BuildWithFaults builds the program with the fault layer into a folder: the build tag
// faultlayer, and the standard library with hooks by the compiler's overlay. The
// toolchain's own files stay as they are.
func BuildWithFaults(dir string) (string, error) {
	edited, err := hookedSources()
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

// hookedSources gives the text of the standard library's files with hooks, by path.
func hookedSources() (map[string]string, error) {
	root, err := exec.CommandContext(context.Background(), "go", "env", "GOROOT").Output()
	if err != nil {
		return nil, fmt.Errorf("faultsoak: %w", err)
	}
	edited := map[string]string{}
	for _, h := range hooks {
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
			return nil, fmt.Errorf("faultsoak: %s has %q %d times, once wanted", h.file, h.old, n)
		}
		edited[path] = strings.Replace(text, h.old, h.new, 1)
	}
	return edited, nil
}

// writeOverlay writes the files of an overlay, and returns the path of its list.
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

// SetFaults tells the process what to suffer from now on. It must be of a build with
// faults, at work now.
func (n *Node) SetFaults(plan FaultPlan) error {
	dialer := net.Dialer{Timeout: controlTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", n.FaultsAddress())
	if err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(controlTimeout)) // without it the call waits longer
	if err := json.NewEncoder(conn).Encode(plan); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	if answer != "done\n" {
		return fmt.Errorf("faultsoak: the fault layer says %q", answer)
	}
	return nil
}
