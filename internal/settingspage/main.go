// Command settingspage writes the reference page of the daemon settings to the file
// named by its argument. It must run in a direct subdirectory of the module root.
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
