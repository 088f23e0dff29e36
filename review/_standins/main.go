// Command standins plays the cases of the review: it starts the app server as the platform does,
// with stand-ins of the balancers, the processor, the ledger and the announce service, and checks
// a rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the plays, by name. A play returns whether the rule was broken.
var cases = map[string]func(p *platform, trouble bool) (broken bool, err error){
	"gap":   playGap,
	"queue": playQueue,
	"full":  playFull,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	p, err := newPlatform(os.Args[2], dir, rec, &work{
		duration: func(string) time.Duration { return 5 * time.Millisecond }, calls: func(string) int { return 1 },
	})
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer p.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		p.close()
		rec.line("stopped by a signal")
		rec.close()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](p, trouble)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return 2
	case broken:
		rec.say("BROKEN")
		return 1
	}
	rec.say("held")
	return 0
}
