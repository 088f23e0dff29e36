// Command dependencies runs fakes of the services that an app server needs, so that one can be
// tried on a single machine: the processor, the ledger (shared dependency), the discovery
// service ("announce" in the configuration) and a uwsgi application server. It prints the
// requests that are started and stopped, and the reports to the discovery service when they
// change.
package main

import (
	"fmt"
	"os"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "dependencies:", err)
		os.Exit(1)
	}
}

func run() error {
	work := fakes.NewWork(100 * time.Millisecond)
	if _, err := fakes.NewProcessor("127.0.0.1:9300", work); err != nil {
		return err
	}
	if _, err := fakes.NewDependency("127.0.0.1:7700"); err != nil {
		return err
	}
	if _, err := fakes.NewUWSGIServer("127.0.0.1:3032", work); err != nil {
		return err
	}
	discovery, err := fakes.NewDiscoveryService("127.0.0.1:8500")
	if err != nil {
		return err
	}
	fmt.Println("processor 127.0.0.1:9300, ledger 127.0.0.1:7700, announce 127.0.0.1:8500, uwsgi app 127.0.0.1:3032")
	lastReport := ""
	for {
		select {
		case body := <-work.Started():
			fmt.Println("begun:", body)
		case body := <-work.Stopped():
			fmt.Println("stopped:", body)
		case report := <-discovery.Reports:
			if report != lastReport {
				fmt.Println("reported:", report)
			}
			lastReport = report
		}
	}
}
