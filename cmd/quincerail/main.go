// Command quincerail is the app server and its operators' tools. Without a
// sub-command it runs the server, because the platform starts it that way. The
// environment variable GW_CONFIG names its configuration file.
//
//	quincerail [serve] [--operator FILE] [--uwsgi FILE] [--rules FILE] [--keys DIR]
//	quincerail check [--operator FILE] [--uwsgi FILE] [--rules FILE]
//	quincerail describe FILE [--rules FILE]
//	quincerail rollout status|start|halt --address HOST:PORT
//	quincerail voters list|add|remove --address HOST:PORT
//	quincerail keys DIR
//	quincerail version
//
// Exit codes: 0 for success; 1 if a command failed, or if check, describe or
// keys found problems; 2 for an invalid command line. docs/operating.md
// describes each command.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the command line. kong derives the sub-commands and flags from the field names.
type cli struct {
	Serve    serveCmd    `cmd:"" default:"withargs" help:"Run the server (the default, as the platform starts the program)."`
	Check    checkCmd    `cmd:"" help:"Check the configuration and the operator's files, and print every problem."`
	Describe describeCmd `cmd:"" help:"Print the class of each operation in an OpenAPI or AsyncAPI description, and its conflicts with the settings and rules."`
	Rollout  rolloutCmd  `cmd:"" help:"Print the state of a fleet's rollout, start one, or halt it."`
	Voters   votersCmd   `cmd:"" help:"List a fleet's voters, add one, or remove one."`
	Keys     keysCmd     `cmd:"" help:"Print the contents of a folder of idempotency keys, without changing it."`
	Version  versionCmd  `cmd:"" help:"Print the program's version."`
}

// errProblemsFound is wrapped by the error of a command that ran, found problems and printed
// them. The exit code is 1, and the error itself isn't printed.
var errProblemsFound = errors.New("problems found")

func main() {
	var c cli
	parser, err := kong.New(&c, kong.Name("quincerail"),
		kong.Description("The app server, and its operators' tools. GW_CONFIG names the configuration."),
		kong.UsageOnError())
	if err != nil {
		panic(err) // the tags of cli are invalid
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "quincerail:", err)
		os.Exit(2)
	}
	if err := ctx.Run(); err != nil {
		if !errors.Is(err, errProblemsFound) {
			fmt.Fprintln(os.Stderr, "quincerail:", err)
		}
		os.Exit(1)
	}
}
