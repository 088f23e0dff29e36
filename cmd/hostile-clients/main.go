// Command hostile-clients measures what hostile clients do to a server, one kind after another,
// each with a process of its own: the peak of its resident memory, and how the requests of other
// clients are answered meanwhile. It prints a row of a Markdown table for each.
//
//	go build -o bin/ ./cmd/... ./example/web
//	go run ./cmd/hostile-clients
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"quincerail.example/quincerail/internal/hostileclients"
)

// command is the command line.
type command struct {
	Binary  string        `default:"bin/quincerail" help:"Path of the program." type:"existingfile"`
	Library string        `default:"bin/web" help:"Path of the library's sample service." type:"existingfile"`
	Config  string        `default:"example/config.json" help:"Configuration of the program." type:"existingfile"`
	Seconds int           `default:"10" help:"Duration of each run, in seconds."`
	Run     time.Duration `default:"120ms" help:"Duration of a run at the processor."`
	Clients int           `help:"Number of clients at once instead of each picture's own."`
	Only    string        `help:"Run only the pictures whose listener and name contain this text."`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Measures what hostile clients do to a server."))
	fmt.Println("| listener | clients | what they do | peak resident memory | answers of others p50 / p99 / longest | others' outcomes |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, picture := range hostileclients.Pictures() {
		if !strings.Contains(picture.Port.String()+" "+picture.Name, c.Only) {
			continue
		}
		if c.Clients > 0 {
			picture.Clients = c.Clients
		}
		if err := c.measure(picture); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// measure runs one picture and prints its row.
func (c command) measure(picture hostileclients.Picture) error {
	dir, err := os.MkdirTemp("", "hostile-clients")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	environment := &hostileclients.Environment{
		Binary: c.Binary, Library: c.Library, Config: c.Config, Dir: dir, RunDuration: c.Run,
	}
	defer environment.Close()
	ctx := context.Background()
	server, err := environment.Start(ctx, picture)
	if err != nil {
		return err
	}
	time.Sleep(time.Second) // until the server is ready to run requests
	result, err := hostileclients.Run(ctx, server, picture, time.Duration(c.Seconds)*time.Second)
	if err != nil {
		return err
	}
	const kbPerMB = 1024
	fmt.Printf("| %s | %d | %s | %d MB | %.2f / %.2f / %.2f s | %v |\n", picture.Port, picture.Clients, picture.Name,
		result.PeakKB/kbPerMB, result.P50.Seconds(), result.P99.Seconds(), result.Longest.Seconds(), result.Outcomes)
	return nil
}
