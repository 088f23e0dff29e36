// Command drill plays the cases of the second review. Each subcommand plays one case: it starts
// the project's own program as the deploy file does, plays the platform, the processor, the
// shared services and the callers on loopback addresses, and judges what it has seen.
//
//	drill CASE FOLDER
//
// It writes record.txt into FOLDER. The exit code is 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that does not end by itself.
const caseTimeout = 115 * time.Second

func main() {
	cases := map[string]func(*site) (broken []string, err error){
		"silent-clients": silentClients,
		"latin1-key":     latin1Key,
		"sigterm-start":  sigtermAtStart,
		"upgrade-keys":   upgradeKeys,
		"memory-restart": memoryAtRestart,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE FOLDER")
		os.Exit(exitNotRun)
	}
	s, err := newSite(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(caseTimeout, func() {
		s.log("the case took longer than %s", caseTimeout)
		s.close()
		os.Exit(exitNotRun)
	})
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ended
		s.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](s)
	s.close()
	code := exitHeld
	switch {
	case err != nil:
		s.log("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		code = exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			s.log("BROKEN %s", b)
		}
		fmt.Println("rule broken:", len(broken), "times, first:", broken[0])
		code = exitBroken
	default:
		s.log("rule held")
		fmt.Println("rule held")
	}
	s.closeRecord()
	os.Exit(code)
}
