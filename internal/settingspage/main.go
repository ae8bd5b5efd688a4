// Command settingspage writes the reference of a daemon's settings to a file.
// It runs in a directory right below the module's root.
package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
)

func main() {
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string) error {
	text, err := page("..")
	if err != nil {
		return err
	}
	const fileMode = 0o644
	return errors.WithStack(os.WriteFile(path, []byte(text), fileMode))
}
