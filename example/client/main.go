// Command ask sends one request to an app server, over Thrift or uwsgi, and
// prints what came of it.
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
	uwsgi := flag.Bool("uwsgi", false, "ask over uwsgi, not Thrift")
	class := flag.String("class", "kampanjsida", "class of the request")
	key := flag.String("key", "", "key of a keyed request")
	team := flag.String("team", "", "tenant of a request, over Thrift")
	limit := flag.Int("limit", 0, "milliseconds that the caller waits, over Thrift; 0 does not tell")
	body := flag.String("body", "hej", "body; its first word may be fail, hang or call")
	flag.Parse()
	further := make(map[string]string)
	if *team != "" {
		further["team"] = *team
	}
	if *limit != 0 {
		further["limit"] = strconv.Itoa(*limit)
	}
	caller, address := fakes.ThriftWith(further), "127.0.0.1:9090"
	if *uwsgi {
		caller, address = fakes.UWSGI, "127.0.0.1:3031"
	}
	if err := run(caller, address, *class, *key, *body); err != nil {
		fmt.Fprintln(os.Stderr, "ask:", err)
		os.Exit(1)
	}
}

func run(caller fakes.Client, address, class, key, body string) error {
	began := time.Now()
	try, err := caller(address, class, key, body)
	if err != nil {
		return err
	}
	if err := try.Send(); err != nil {
		return err
	}
	o, err := try.Outcome()
	if err != nil {
		return err
	}
	fmt.Printf("%s %q in %v\n", o.Kind, o.Body, time.Since(began).Round(time.Millisecond))
	return nil
}
