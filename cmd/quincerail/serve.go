package main

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/config/operator"
	"quincerail.example/quincerail/logging"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/server"
)

// files are the operator's files beside the platform's configuration; empty
// where there is none. serve and check take them alike. A flag goes before
// what the operator's file says.
type files struct {
	Operator string `help:"The operator's file, TOML or CUE (see deploy/quincerail.toml)." type:"path"`
	UWSGI    string `name:"uwsgi" help:"File that configures the uwsgi front (off without it)." type:"path"`
	Rules    string `help:"File of rules that give classes and keys on every front (off without it)." type:"path"`
	Keys     string `help:"Folder where the keys of what ran outlive the process (in memory without it)." type:"path"`
}

// operator gives the operator's file with the flags over it.
func (f files) operator() (*operator.File, error) {
	o, err := operator.Load(f.Operator)
	if err != nil {
		return nil, err
	}
	o.UWSGI, o.Rules, o.Keys.Dir = cmp.Or(f.UWSGI, o.UWSGI), cmp.Or(f.Rules, o.Rules), cmp.Or(f.Keys, o.Keys.Dir)
	return o, nil
}

// serveCmd serves: the platform's way, and what the program does without a
// sub-command.
type serveCmd struct {
	files
}

// Run implements the sub-command.
func (c *serveCmd) Run() error { return serve(c.files) }

// flushLogWithin is how long the process waits at its end for its log to be taken.
const flushLogWithin = 20 * time.Millisecond

// serve runs a server until SIGTERM, and reloads its files at SIGHUP.
func serve(f files) error {
	signal.Ignore(syscall.SIGPIPE)     // the reader of the log may have gone: that ends nothing
	hangups := make(chan os.Signal, 1) // before all else: a SIGHUP that nobody takes ends the process
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	operatorFile, err := f.operator()
	if err != nil {
		return err
	}
	level := new(slog.LevelVar)
	if err := setLevel(level, operatorFile); err != nil {
		return err
	}
	format := logging.Format(operatorFile.Log.Format)
	lines := logging.NewWriter(os.Stderr, format)
	defer lines.Flush(flushLogWithin)
	logger := logging.New(lines, format, level, operatorFile.Log.Repeats)
	settings, front, err := load(operatorFile, logger)
	if err != nil {
		return err
	}
	server.ApplyResourceLimits(settings)
	running, err := server.Start(settings, front)
	if err != nil {
		return err
	}
	go reloadAt(hangups, f, running, level, logger)
	<-ctx.Done()
	running.Shutdown()
	return nil
}

// reloadAt reloads at each signal, also while the server shuts down. Where that fails, what
// is in force stays.
func reloadAt(hangups <-chan os.Signal, f files, running *server.Server, level *slog.LevelVar, logger *slog.Logger) {
	for range hangups {
		if err := reload(f, running, level, logger); err != nil {
			logger.Warn("reload_failed", "error", err.Error())
		}
	}
}

// reload reads the files again and puts them in force: of the operator's file the level of
// the log, the rules and the uwsgi front's file. What else of it has changed needs a restart.
func reload(f files, running *server.Server, level *slog.LevelVar, logger *slog.Logger) error {
	operatorFile, err := f.operator()
	if err != nil {
		return err
	}
	settings, front, err := load(operatorFile, logger)
	if err != nil {
		return err
	}
	if err := running.Reload(settings, front); err != nil {
		return err
	}
	return setLevel(level, operatorFile)
}

func setLevel(level *slog.LevelVar, o *operator.File) error {
	l, err := logging.ParseLevel(o.Log.Level)
	if err == nil {
		level.Set(l)
	}
	return err
}

// load reads the configuration, and the operator's files where there are any.
func load(o *operator.File, logger *slog.Logger) (*config.Config, *config.UWSGI, error) {
	settings, err := config.Load(os.Getenv("GW_CONFIG"))
	if err != nil {
		return nil, nil, err
	}
	settings.Logger = logger
	settings.KeysDir, settings.KeysSync = o.Keys.Dir, o.Keys.Sync
	settings.MetricsAddress, settings.OperatorsAddress = o.Metrics.Listen, o.Fleet.Operators
	if settings.Fleet, err = o.FleetConfig(settings.Name, settings.DependencyAddress, logger); err != nil {
		return nil, nil, err
	}
	if err := loadRules(o.Rules, settings); err != nil {
		return nil, nil, err
	}
	if o.UWSGI == "" {
		return settings, nil, nil
	}
	front, err := config.LoadUWSGI(o.UWSGI, settings.Classes)
	if err == nil {
		err = checkListeners(o, front)
	}
	return settings, front, err
}

// loadRules reads the file of rules, if there is one.
func loadRules(path string, settings *config.Config) error {
	if path == "" {
		return nil
	}
	rules, err := match.Load(path, settings.Classes)
	if err != nil {
		return err
	}
	for _, warning := range rules.Warnings() {
		settings.Logger.Warn("rules_overlap", "warning", warning)
	}
	settings.Rules = rules
	return nil
}

// checkListeners rejects two listeners on one address, each of which is valid alone.
func checkListeners(o *operator.File, front *config.UWSGI) error {
	if front.Listen == o.Metrics.Listen && !strings.HasSuffix(front.Listen, ":0") {
		return fmt.Errorf("metrics.listen: %s is the uwsgi front's address too", front.Listen)
	}
	return nil
}
