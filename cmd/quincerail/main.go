// Command quincerail is the app server.
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"quincerail.example/quincerail/program"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "quincerail:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	config, err := program.LoadConfig(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	return program.Serve(ctx, config)
}
