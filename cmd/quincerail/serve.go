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

func serve(f files) error {
	signal.Ignore(syscall.SIGPIPE) // its log's reader may have gone: that ends nothing
	hup := make(chan os.Signal, 1) // at once: a signal that nobody takes ends the program
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	o, err := f.operator()
	if err != nil {
		return err
	}
	level := new(slog.LevelVar)
	if err := setLevel(level, o); err != nil {
		return err
	}
	lines := logging.NewWriter(os.Stderr, logging.Format(o.Log.Format))
	defer lines.Flush(flushLogWithin)
	logger := logging.New(lines, logging.Format(o.Log.Format), level, o.Log.Repeats)
	settings, front, err := load(o, logger)
	if err != nil {
		return err
	}
	server.ApplyResourceLimits(settings)
	server, err := server.Start(settings, front)
	if err != nil {
		return err
	}
	go func() { // also while it drains
		for range hup {
			if err := reload(f, server, level, logger); err != nil { // what works is kept
				logger.Warn("reload_failed", "error", err.Error())
			}
		}
	}()
	<-ctx.Done()
	server.Shutdown()
	return nil
}

// reload takes over the files anew at SIGHUP: the level of the log at once;
// what else of the operator's file changed needs a restart.
func reload(f files, server *server.Server, level *slog.LevelVar, logger *slog.Logger) error {
	o, err := f.operator()
	if err != nil {
		return err
	}
	settings, front, err := load(o, logger)
	if err != nil {
		return err
	}
	if err := server.Reload(settings, front); err != nil {
		return err
	}
	return setLevel(level, o)
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
	settings.KeysDir, settings.KeysSync, settings.MetricsListen, settings.OperatorsListen, settings.Logger =
		o.Keys.Dir, o.Keys.Sync, o.Metrics.Listen, o.Fleet.Operators, logger
	if settings.Fleet, err = o.FleetOf(settings.Name, settings.Ledger, logger); err != nil {
		return nil, nil, err
	}
	if o.Rules != "" {
		if settings.Rules, err = match.Load(o.Rules, settings.Classes); err != nil {
			return nil, nil, err
		}
		for _, w := range settings.Rules.Warnings() {
			logger.Warn("rules_overlap", "warning", w)
		}
	}
	if o.UWSGI == "" {
		return settings, nil, nil
	}
	front, err := config.LoadUWSGI(o.UWSGI, settings.Classes)
	if err == nil {
		err = apart(o, front)
	}
	return settings, front, err
}

// apart refuses two listeners on one address, each of which is right alone.
func apart(o *operator.File, front *config.UWSGI) error {
	if front.Listen == o.Metrics.Listen && !strings.HasSuffix(front.Listen, ":0") {
		return fmt.Errorf("metrics.listen: %s is the uwsgi front's address too", front.Listen)
	}
	return nil
}
