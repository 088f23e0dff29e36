// Command quincerail is the app server. It is told what it needs by the file
// that GW_CONFIG names; -uwsgi switches on the second front, and -rules the
// operator's matching rules (package match) on every front, and -keys a folder
// where the keys of gifts that ran outlive the process (package store).
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/program"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	uwsgi := flag.String("uwsgi", "", "file that configures the uwsgi front (off without it)")
	rules := flag.String("rules", "", "file of rules that give classes and keys (off without it)")
	keys := flag.String("keys", "", "folder where the keys of what ran outlive the process (in memory without it)")
	flag.Parse()
	if err := run(files{*uwsgi, *rules, *keys}); err != nil {
		fmt.Fprintln(os.Stderr, "quincerail:", err)
		os.Exit(1)
	}
}

// files are the operator's files beside the platform's configuration; empty
// where there is none.
type files struct{ uwsgi, rules, keys string }

func run(f files) error {
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
	config.KeysDir = f.keys
	if f.rules != "" {
		if config.Rules, err = match.Load(f.rules, config.Classes); err != nil {
			return nil, nil, err
		}
		for _, w := range config.Rules.Warnings() {
			log.Printf("event=rules_overlap warning=%q", w)
		}
	}
	if f.uwsgi == "" {
		return config, nil, nil
	}
	front, err := program.LoadUWSGI(f.uwsgi, config.Classes)
	return config, front, err
}
