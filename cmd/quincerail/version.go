package main

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// versionCmd prints the version, the source revision and the Go version of the build.
type versionCmd struct{}

// Run prints one line. It fails if the program was built without build information.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("program contains no build information")
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("quincerail %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}
