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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	config, err := program.LoadConfig(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	var front *program.UWSGIConfig
	if uwsgi != "" {
		if front, err = program.LoadUWSGI(uwsgi, config.Classes); err != nil {
			return err
		}
	}
	program.Limit(config)
	server, err := program.Start(config, front)
	if err != nil {
		return err
	}
	<-ctx.Done()
	server.Drain()
	return nil
}
