// Command quincerail is the app server and its operators' tools. Without a
// sub-command it serves, as the platform starts it: it is told what it needs by
// the file that GW_CONFIG names.
//
//	quincerail [serve] [--operator FILE] [--uwsgi FILE] [--rules FILE] [--keys DIR]
//	quincerail check [--operator FILE] [--uwsgi FILE] [--rules FILE]
//	quincerail describe FILE [--rules FILE]
//	quincerail rollout status|start|halt --address HOST:PORT
//	quincerail voters list|add|remove --address HOST:PORT
//	quincerail keys DIR
//	quincerail version
//
// Exit codes: 0 for success; 1 where serving failed, or check and describe
// found problems; 2 for a command line that makes no sense. docs/operating.md
// has each command.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Serve    serveCmd    `cmd:"" default:"withargs" help:"Serve, as the platform starts the program (the default)."`
	Check    checkCmd    `cmd:"" help:"Check the configuration and the operator's files, and print every problem."`
	Describe describeCmd `cmd:"" help:"Report what the operations of an OpenAPI or AsyncAPI description come to."`
	Rollout  rolloutCmd  `cmd:"" help:"Ask a fleet's voter about rolling changes, start one, or halt it."`
	Voters   votersCmd   `cmd:"" help:"List a fleet's voters, add one, or remove one."`
	Keys     keysCmd     `cmd:"" help:"Report what a folder of keys holds, changing nothing."`
	Version  versionCmd  `cmd:"" help:"Print the program's version."`
}

// errFound is wrapped by a command that ran and found problems: exit code 1.
var errFound = errors.New("problems found")

func main() {
	var c cli
	parser, err := kong.New(&c, kong.Name("quincerail"),
		kong.Description("The app server, and its operators' tools. GW_CONFIG names the configuration."),
		kong.UsageOnError())
	if err != nil {
		panic(err) // the grammar above is wrong
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "quincerail:", err)
		os.Exit(2)
	}
	if err := ctx.Run(); err != nil {
		if !errors.Is(err, errFound) {
			fmt.Fprintln(os.Stderr, "quincerail:", err)
		}
		os.Exit(1)
	}
}
