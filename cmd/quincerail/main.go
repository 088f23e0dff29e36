// Command quincerail is the app server. It is told what it needs by the file
// that GW_CONFIG names; -uwsgi switches on the second front.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"quincerail.example/quincerail/program"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	uwsgi := flag.String("uwsgi", "", "file that configures the uwsgi front (off without it)")
	flag.Parse()
	if err := run(*uwsgi); err != nil {
		fmt.Fprintln(os.Stderr, "quincerail:", err)
		os.Exit(1)
	}
}

func run(uwsgi string) error {
	hup := make(chan os.Signal, 1) // at once: a signal that nobody takes ends the program
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	config, front, err := load(uwsgi)
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
			config, front, err := load(uwsgi)
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

// load reads the configuration, and that of the uwsgi front where there is one.
func load(uwsgi string) (*program.Config, *program.UWSGIConfig, error) {
	config, err := program.LoadConfig(os.Getenv("GW_CONFIG"))
	if err != nil || uwsgi == "" {
		return config, nil, err
	}
	front, err := program.LoadUWSGI(uwsgi, config.Classes)
	return config, front, err
}
