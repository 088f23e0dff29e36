// Command simhost hosts instances of the decision module for the simulator. It reads batches
// of events from standard input, passes them to the instances, and writes a reply with their
// actions to standard output for each batch. It makes no decisions itself.
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
