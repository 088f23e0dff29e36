package hostileclients

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// Environment starts servers with fakes of the services around them.
type Environment struct {
	Binary  string // path of the program
	Library string // path of the library's sample service
	Config  string // path of the configuration
	Dir     string // folder for files

	RunDuration time.Duration // of the runs at the processor

	work    *fakes.Work
	closers []func()
}

const (
	anyPort      = "127.0.0.1:0"
	startTimeout = 20 * time.Second
)

// Close stops what was started.
func (e *Environment) Close() {
	for _, closeNow := range e.closers {
		closeNow()
	}
	e.closers = nil
}

// Start starts the server that has the picture's listener.
func (e *Environment) Start(ctx context.Context, picture Picture) (Server, error) {
	if picture.Port == LibraryPort {
		return e.startLibrary(ctx)
	}
	return e.startDaemon(ctx, picture)
}

// startLibrary starts the library's sample service.
func (e *Environment) startLibrary(ctx context.Context) (Server, error) {
	address, err := freeAddress()
	if err != nil {
		return Server{}, err
	}
	pid, err := e.launch(exec.CommandContext(ctx, e.Library, "--listen", address))
	return Server{PID: pid, Addresses: map[Port]string{LibraryPort: address}, Others: LibraryPort}, err
}

// startDaemon starts the program, as a voter of a fleet if the picture needs its ports.
func (e *Environment) startDaemon(ctx context.Context, picture Picture) (Server, error) {
	server := Server{Addresses: map[Port]string{}, Others: ThriftPort}
	if picture.Port == UWSGIPort {
		server.Others = UWSGIPort
	}
	for _, port := range []Port{ThriftPort, UWSGIPort, ControlPort, RaftPort, GossipPort} {
		address, err := freeAddress()
		if err != nil {
			return server, err
		}
		server.Addresses[port] = address
	}
	if err := e.writeConfig(server); err != nil {
		return server, err
	}
	if err := e.writeUWSGIFile(server); err != nil {
		return server, err
	}
	arguments := []string{"--uwsgi", e.path("uwsgi.toml")}
	if picture.Port == RaftPort || picture.Port == GossipPort {
		if err := e.writeOperatorFile(server); err != nil {
			return server, err
		}
		arguments = append(arguments, "--operator", e.path("operator.toml"))
	}
	command := exec.CommandContext(ctx, e.Binary, arguments...)
	command.Env = append(os.Environ(), "GW_CONFIG="+e.path("config.json"))
	var err error
	server.PID, err = e.launch(command)
	return server, err
}

func (e *Environment) path(name string) string { return filepath.Join(e.Dir, name) }

// writeConfig starts the fakes of the platform's services, and writes the configuration with
// their addresses.
func (e *Environment) writeConfig(server Server) error {
	text, err := os.ReadFile(e.Config)
	if err != nil {
		return err
	}
	config := map[string]any{}
	if err := json.Unmarshal(text, &config); err != nil {
		return fmt.Errorf("%s: %w", e.Config, err)
	}
	e.work = fakes.NewWork(e.RunDuration)
	processor, err := fakes.NewProcessor(anyPort, e.work)
	if err != nil {
		return err
	}
	dependency, err := fakes.NewDependency(anyPort)
	if err != nil {
		return err
	}
	discovery, err := fakes.NewDiscoveryService(anyPort)
	if err != nil {
		return err
	}
	e.closers = append(e.closers, processor.Close, dependency.Close, discovery.Close)
	go discardEvents(e.work, dependency, discovery)
	config["listen"], config["control"] = server.Addresses[ThriftPort], server.Addresses[ControlPort]
	config["processor"], config["ledger"], config["announce"] = processor.Addr(), dependency.Addr(), discovery.Addr()
	if text, err = json.Marshal(config); err != nil {
		return err
	}
	return os.WriteFile(e.path("config.json"), text, 0o600)
}

// discardEvents receives the events of the fakes, so that their channels do not fill up.
func discardEvents(work *fakes.Work, dependency *fakes.Dependency, discovery *fakes.DiscoveryService) {
	for {
		select {
		case <-work.Started():
		case <-work.Stopped():
		case <-dependency.Calls:
		case <-dependency.Abandoned:
		case <-discovery.Reports:
		}
	}
}

// writeUWSGIFile starts a fake of a uwsgi application server, and writes the frontend's file.
func (e *Environment) writeUWSGIFile(server Server) error {
	app, err := fakes.NewUWSGIServer(anyPort, e.work)
	if err != nil {
		return err
	}
	e.closers = append(e.closers, app.Close)
	text := fmt.Sprintf("listen = %q\nbackend = %q\nkey_variable = \"HTTP_IDEMPOTENCY_KEY\"\nmax_body = %d\n",
		server.Addresses[UWSGIPort], app.Addr(), bodyBytes)
	for _, class := range []string{classPage, classGift} {
		text += fmt.Sprintf("\n[[route]]\nmethod = \"POST\"\npath = \"/%s\"\nclass = %q\n", class, class)
	}
	return os.WriteFile(e.path("uwsgi.toml"), []byte(text), 0o600)
}

// writeOperatorFile writes an operator's file for the only voter of a fleet.
func (e *Environment) writeOperatorFile(server Server) error {
	text := fmt.Sprintf("[fleet]\nrole = \"voter\"\nraft = %q\ngossip = %q\ndir = %q\n\n[fleet.voters]\nn1 = %q\n",
		server.Addresses[RaftPort], server.Addresses[GossipPort], e.path("log"), server.Addresses[RaftPort])
	return os.WriteFile(e.path("operator.toml"), []byte(text), 0o600)
}

// launch starts a process, which Close kills, and waits until it logs that it listens. Its log is
// kept in the folder.
func (e *Environment) launch(command *exec.Cmd) (pid int, err error) {
	output, err := command.StderrPipe()
	if err != nil {
		return 0, err
	}
	if err := command.Start(); err != nil {
		return 0, err
	}
	listens, exited := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(exited)
		e.copyLog(output, listens)
		_ = command.Wait() // killed, or its end shows in the answers
	}()
	e.closers = append([]func(){func() {
		_ = command.Process.Kill() // fails if it has ended
		<-exited
	}}, e.closers...)
	select {
	case <-listens:
		return command.Process.Pid, nil
	case <-exited:
		return 0, fmt.Errorf("%s ended before it listened: see %s", command.Path, e.path("log.txt"))
	case <-time.After(startTimeout):
		return 0, fmt.Errorf("%s did not listen within %v", command.Path, startTimeout)
	}
}

// copyLog copies a process's log to a file, and closes listens at the line that it listens.
func (e *Environment) copyLog(output io.Reader, listens chan<- struct{}) {
	file, err := os.OpenFile(e.path("log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	for scanner := bufio.NewScanner(output); scanner.Scan(); {
		_, _ = fmt.Fprintln(file, scanner.Text())
		if listens != nil && strings.Contains(scanner.Text(), "listening") {
			close(listens)
			listens = nil
		}
	}
}

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
