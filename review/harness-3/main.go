package main

import (
	"fmt"
	"os"
)

// A case returns how the rule was broken, or nothing if it held.
var cases = map[string]func(trouble bool) []string{
	"copied-entry":      copiedEntry,
	"overwritten-entry": overwrittenEntry,
	"taken-up":          takenUpStreams,
	"doors":             doors,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE RECORD")
		os.Exit(unable)
	}
	broken := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	current.stop()
	for _, b := range broken {
		current.note("BROKEN: %s", b)
		fmt.Println(b)
	}
	if len(broken) == 0 {
		current.note("the rule held")
		fmt.Println("the rule held")
	}
	if err := current.writeRecord(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
}
