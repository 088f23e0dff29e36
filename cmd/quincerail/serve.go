package main

import (
	"context"
	"log"
	"os"
	"os/signal"
	"syscall"

	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/program"
)

// files are the operator's files beside the platform's configuration; empty
// where there is none. serve and check take them alike.
type files struct {
	UWSGI string `name:"uwsgi" help:"File that configures the uwsgi front (off without it)." type:"path"`
	Rules string `help:"File of rules that give classes and keys on every front (off without it)." type:"path"`
	Keys  string `help:"Folder where the keys of what ran outlive the process (in memory without it)." type:"path"`
}

// serveCmd serves: the platform's way, and what the program does without a
// sub-command.
type serveCmd struct {
	files
}

// Run implements the sub-command.
func (c *serveCmd) Run() error { return serve(c.files) }

func serve(f files) error {
	hup := make(chan os.Signal, 1) // at once: a signal that nobody takes ends the program
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	config, front, err := load(f)
	if err != nil {
		return err
	}
	program.Limit(config)
	server, err := program.Start(config, front)
	if err != nil {
		return err
	}
	go func() { // also while it drains
		for range hup {
			config, front, err := load(f)
			if err == nil {
				err = server.Reload(config, front)
			}
			if err != nil { // what works is kept
				log.Printf("event=reload_failed error=%q", err)
			}
		}
	}()
	<-ctx.Done()
	server.Drain()
	return nil
}

// load reads the configuration, and the operator's files where there are any.
func load(f files) (*program.Config, *program.UWSGIConfig, error) {
	config, err := program.LoadConfig(os.Getenv("GW_CONFIG"))
	if err != nil {
		return nil, nil, err
	}
	config.KeysDir = f.Keys
	if f.Rules != "" {
		if config.Rules, err = match.Load(f.Rules, config.Classes); err != nil {
			return nil, nil, err
		}
		for _, w := range config.Rules.Warnings() {
			log.Printf("event=rules_overlap warning=%q", w)
		}
	}
	if f.UWSGI == "" {
		return config, nil, nil
	}
	front, err := program.LoadUWSGI(f.UWSGI, config.Classes)
	return config, front, err
}
