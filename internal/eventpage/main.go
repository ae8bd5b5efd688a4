// Command eventpage writes the event catalogue as a Markdown page to the file named
// by its argument.
package main

import (
	"fmt"
	"os"

	"github.com/vanillaroad/vanillaroad/event"
)

func main() {
	const fileMode = 0o644
	if err := os.WriteFile(os.Args[1], []byte(event.Document()), fileMode); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
