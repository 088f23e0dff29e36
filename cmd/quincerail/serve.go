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

// files are the flags of serve and check that name the operator's files, "" for none. A
// flag overrides the key of the operator's file.
type files struct {
	Operator string `help:"The operator's file, TOML or CUE (see deploy/quincerail.toml)." type:"path"`
	UWSGI    string `name:"uwsgi" help:"File that configures the uwsgi front (off without it)." type:"path"`
	Rules    string `help:"File of rules that give classes and keys on every front (off without it)." type:"path"`
	Keys     string `help:"Folder where the keys of what ran outlive the process (in memory without it)." type:"path"`
}

// operator loads the operator's file, and overrides its keys by the flags.
func (f files) operator() (*operator.File, error) {
	file, err := operator.Load(f.Operator)
	if err != nil {
		return nil, err
	}
	file.UWSGI = cmp.Or(f.UWSGI, file.UWSGI)
	file.Rules = cmp.Or(f.Rules, file.Rules)
	file.Keys.Dir = cmp.Or(f.Keys, file.Keys.Dir)
	return file, nil
}

// serveCmd runs the server. It is the sub-command where none is given, as the platform
// starts the program.
type serveCmd struct {
	files
}

// Run implements the sub-command.
func (c *serveCmd) Run() error { return serve(c.files) }

// logFlushTimeout is how long the process waits at its end for its log to be written.
const logFlushTimeout = 20 * time.Millisecond

// serve runs a server until SIGTERM, and reloads its files at SIGHUP.
func serve(f files) error {
	signal.Ignore(syscall.SIGPIPE)     // else writing the log ends the process if the log's reader has closed it
	hangups := make(chan os.Signal, 1) // registered before anything slow: an unhandled SIGHUP ends the process
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
	defer lines.Flush(logFlushTimeout)
	logger := logging.New(lines, format, level, operatorFile.Log.Repeats)
	configuration, uwsgiFile, err := load(operatorFile, logger)
	if err != nil {
		return err
	}
	server.ApplyResourceLimits(configuration)
	running, err := server.Start(configuration, uwsgiFile)
	if err != nil {
		return err
	}
	go reloadOnHangup(hangups, f, running, level, logger)
	<-ctx.Done()
	running.Shutdown()
	return nil
}

// reloadOnHangup reloads at each SIGHUP, also while the server shuts down. Where that fails,
// the configuration in force stays.
func reloadOnHangup(hangups <-chan os.Signal, f files, running *server.Server, level *slog.LevelVar, logger *slog.Logger) {
	for range hangups {
		if err := reload(f, running, level, logger); err != nil {
			logger.Warn("reload_failed", "error", err.Error())
		}
	}
}

// reload reads the files again and puts them in force. Of the operator's file only the log's
// level, the rules and the uwsgi front's file are; other changes of it need a restart.
func reload(f files, running *server.Server, level *slog.LevelVar, logger *slog.Logger) error {
	operatorFile, err := f.operator()
	if err != nil {
		return err
	}
	configuration, uwsgiFile, err := load(operatorFile, logger)
	if err != nil {
		return err
	}
	if err := running.Reload(configuration, uwsgiFile); err != nil {
		return err
	}
	return setLevel(level, operatorFile)
}

// setLevel sets the log's level as the operator's file says.
func setLevel(level *slog.LevelVar, operatorFile *operator.File) error {
	parsed, err := logging.ParseLevel(operatorFile.Log.Level)
	if err != nil {
		return err
	}
	level.Set(parsed)
	return nil
}

// load reads the configuration, to which it adds the operator's choices, and the uwsgi
// front's file, nil where there is none.
func load(operatorFile *operator.File, logger *slog.Logger) (*config.Config, *config.UWSGI, error) {
	configuration, err := config.Load(os.Getenv(config.EnvFile))
	if err != nil {
		return nil, nil, err
	}
	configuration.Logger = logger
	if err := addOperatorChoices(configuration, operatorFile); err != nil {
		return nil, nil, err
	}
	if operatorFile.UWSGI == "" {
		return configuration, nil, nil
	}
	uwsgiFile, err := config.LoadUWSGI(operatorFile.UWSGI, configuration.Classes)
	if err == nil {
		err = checkListeners(operatorFile, uwsgiFile)
	}
	return configuration, uwsgiFile, err
}

// addOperatorChoices adds the choices of the operator's file to the configuration, whose
// logger must be set.
func addOperatorChoices(c *config.Config, operatorFile *operator.File) (err error) {
	c.KeysDir, c.KeysSync = operatorFile.Keys.Dir, operatorFile.Keys.Sync
	c.MetricsAddress, c.OperatorsAddress = operatorFile.Metrics.Listen, operatorFile.Fleet.Operators
	if c.Fleet, err = operatorFile.FleetConfig(c.Name, c.DependencyAddress, c.Logger); err != nil {
		return err
	}
	return loadRules(operatorFile.Rules, c)
}

// loadRules reads the file of rules, if there is one, and logs its warnings.
func loadRules(path string, configuration *config.Config) error {
	if path == "" {
		return nil
	}
	rules, err := match.Load(path, configuration.Classes)
	if err != nil {
		return err
	}
	for _, warning := range rules.Warnings() {
		configuration.Logger.Warn("rules_overlap", "warning", warning)
	}
	configuration.Rules = rules
	return nil
}

// checkListeners rejects the same address, each valid by itself, for the metrics and the
// uwsgi front. With port 0 the system gives each a port of its own.
func checkListeners(operatorFile *operator.File, uwsgiFile *config.UWSGI) error {
	if uwsgiFile.Listen == operatorFile.Metrics.Listen && !strings.HasSuffix(uwsgiFile.Listen, ":0") {
		return fmt.Errorf("metrics.listen: %s is the uwsgi front's address too", uwsgiFile.Listen)
	}
	return nil
}
