// Command client sends one request to an app server over Thrift or uwsgi, and prints the
// outcome.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

func main() {
	uwsgi := flag.Bool("uwsgi", false, "send the request over uwsgi instead of Thrift")
	class := flag.String("class", "kampanjsida", "class of the request")
	key := flag.String("key", "", "idempotency key of a keyed request")
	team := flag.String("team", "", "tenant of the request (Thrift only)")
	limit := flag.Int("limit", 0, "milliseconds that the caller waits (Thrift only); 0 sends no limit")
	body := flag.String("body", "hej", "body of the request; the processor fails, hangs or calls the ledger if the first word is fail, hang or call")
	flag.Parse()
	fields := make(map[string]string)
	if *team != "" {
		fields["team"] = *team
	}
	if *limit != 0 {
		fields["limit"] = strconv.Itoa(*limit)
	}
	client, address := fakes.ThriftWith(fields), "127.0.0.1:9090"
	if *uwsgi {
		client, address = fakes.UWSGI, "127.0.0.1:3031"
	}
	if err := run(client, address, *class, *key, *body); err != nil {
		fmt.Fprintln(os.Stderr, "client:", err)
		os.Exit(1)
	}
}

func run(client fakes.Client, address, class, key, body string) error {
	startedAt := time.Now()
	attempt, err := client(address, class, key, body)
	if err != nil {
		return err
	}
	if err := attempt.Send(); err != nil {
		return err
	}
	outcome, err := attempt.Outcome()
	if err != nil {
		return err
	}
	fmt.Printf("%s %q in %v\n", outcome.Kind, outcome.Body, time.Since(startedAt).Round(time.Millisecond))
	return nil
}
