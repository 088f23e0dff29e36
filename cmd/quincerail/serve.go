package main

import (
	"cmp"
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

// fileFlags are the flags of serve and check that name the operator's files. An empty flag
// names none. A flag overrides the corresponding key of the operator's file.
type fileFlags struct {
	Operator string `help:"Operator's file, in TOML or CUE (see deploy/quincerail.toml)." type:"path"`
	UWSGI    string `name:"uwsgi" help:"File that configures the uwsgi frontend (disabled without it)." type:"path"`
	Rules    string `help:"File of rules that set the class and key of requests on every frontend (disabled without it)." type:"path"`
	Keys     string `help:"Folder that keeps idempotency keys across restarts (keys are kept in memory without it)." type:"path"`
}

// loadOperatorFile loads the operator's file and overrides its keys with the flags.
func (f fileFlags) loadOperatorFile() (*operator.File, error) {
	file, err := operator.Load(f.Operator)
	if err != nil {
		return nil, err
	}
	file.UWSGI = cmp.Or(f.UWSGI, file.UWSGI)
	file.Rules = cmp.Or(f.Rules, file.Rules)
	file.Keys.Dir = cmp.Or(f.Keys, file.Keys.Dir)
	return file, nil
}

// serveCmd runs the server. It is the default sub-command, because the platform starts the
// program without one.
type serveCmd struct {
	fileFlags
}

// Run runs the server until a signal shuts it down; see serve.
func (c *serveCmd) Run() error { return serve(c.fileFlags) }

// logFlushTimeout is the longest time that the exiting process waits until its log is
// written.
const logFlushTimeout = 20 * time.Millisecond

// serve runs a server. On SIGTERM or an interrupt it shuts the server down and returns; on
// SIGHUP it reloads the server's files.
func serve(f fileFlags) error {
	signal.Ignore(syscall.SIGPIPE)     // otherwise a log write kills the process once the log's reader has closed the pipe
	hangups := make(chan os.Signal, 1) // registered before any slow step: an unhandled SIGHUP kills the process
	signal.Notify(hangups, syscall.SIGHUP)
	notice := awaitNotice()
	operatorFile, err := f.loadOperatorFile()
	if err != nil {
		return err
	}
	level := new(slog.LevelVar)
	if err := setLogLevel(level, operatorFile); err != nil {
		return err
	}
	format := logging.Format(operatorFile.Log.Format)
	lines := logging.NewWriter(os.Stderr, format)
	defer lines.Flush(logFlushTimeout)
	logger := logging.New(lines, format, level, operatorFile.Log.Repeats)
	configuration, uwsgiFile, err := loadConfigFiles(operatorFile, logger)
	if err != nil {
		return err
	}
	server.ApplyResourceLimits(configuration)
	srv, err := server.Start(configuration, uwsgiFile)
	if err != nil {
		return err
	}
	go reloadOnHangup(hangups, f, srv, level, logger)
	srv.ShutdownFrom(<-notice)
	return nil
}

// awaitNotice returns a channel that receives the time at which SIGTERM or an interrupt arrives,
// which may be while the server starts. Further such signals are ignored.
func awaitNotice() <-chan time.Time {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	notice := make(chan time.Time, 1)
	go func() {
		<-signals
		notice <- time.Now()
	}()
	return notice
}

// reloadOnHangup reloads the files on each SIGHUP, also while the server shuts down. If a
// reload fails, the current configuration stays in use.
func reloadOnHangup(hangups <-chan os.Signal, f fileFlags, srv *server.Server, level *slog.LevelVar, logger *slog.Logger) {
	for range hangups {
		if err := reload(f, srv, level, logger); err != nil {
			logger.Warn("reload_failed", "error", err.Error())
		}
	}
}

// reload loads the files again and applies them to the server. From the operator's file it
// applies only the log level, the rules and the uwsgi frontend's file; changes to its other
// keys need a restart.
func reload(f fileFlags, srv *server.Server, level *slog.LevelVar, logger *slog.Logger) error {
	operatorFile, err := f.loadOperatorFile()
	if err != nil {
		return err
	}
	configuration, uwsgiFile, err := loadConfigFiles(operatorFile, logger)
	if err != nil {
		return err
	}
	if err := srv.Reload(configuration, uwsgiFile); err != nil {
		return err
	}
	return setLogLevel(level, operatorFile)
}

// setLogLevel sets the log level to the operator file's log.level.
func setLogLevel(level *slog.LevelVar, operatorFile *operator.File) error {
	parsed, err := logging.ParseLevel(operatorFile.Log.Level)
	if err != nil {
		return err
	}
	level.Set(parsed)
	return nil
}

// loadConfigFiles loads the configuration, merges the operator's file into it, and loads the
// uwsgi frontend's file. The latter is nil if the operator's file names none.
func loadConfigFiles(operatorFile *operator.File, logger *slog.Logger) (*config.Config, *config.UWSGI, error) {
	configuration, err := config.Load(os.Getenv(config.EnvFile))
	if err != nil {
		return nil, nil, err
	}
	configuration.Logger = logger
	if err := applyOperatorFile(configuration, operatorFile); err != nil {
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

// applyOperatorFile sets the configuration's fields that come from the operator's file. The
// configuration's logger must be set.
func applyOperatorFile(c *config.Config, operatorFile *operator.File) (err error) {
	c.KeysDir, c.KeysSync = operatorFile.Keys.Dir, operatorFile.Keys.Sync
	c.MetricsAddress, c.OperatorsAddress = operatorFile.Metrics.Listen, operatorFile.Fleet.Operators
	if c.Fleet, err = operatorFile.FleetConfig(c.Name, c.DependencyAddress, c.Logger); err != nil {
		return err
	}
	return loadRules(operatorFile.Rules, c)
}

// loadRules loads the rules file into the configuration, and logs its warnings. An empty path
// means that there is no rules file.
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

// checkListeners returns an error if the metrics and the uwsgi frontend have the same listen
// address; each file's own validation can't find that. Port 0 is allowed for both, because
// the system then chooses a different port for each.
func checkListeners(operatorFile *operator.File, uwsgiFile *config.UWSGI) error {
	if uwsgiFile.Listen == operatorFile.Metrics.Listen && !strings.HasSuffix(uwsgiFile.Listen, ":0") {
		return fmt.Errorf("metrics.listen: %s is also the uwsgi frontend's listen address", uwsgiFile.Listen)
	}
	return nil
}
