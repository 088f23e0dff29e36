// Command simhost hosts instances of the decision module on the simulator's wire:
// batches of events on standard input, a reply to each on standard output. It only
// translates.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
