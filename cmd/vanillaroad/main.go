// Command vanillaroad is the command line of operators and callers.
package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/client"
	"github.com/vanillaroad/vanillaroad/failure"
)

// Exit codes, documented in docs/operators/command-line.md.
const (
	exitFailed     = 1 // anything else
	exitBadInput   = 2 // bad arguments, settings or documents
	exitConflict   = 3 // another configuration won
	exitRefused    = 4 // refused for now; nothing ran
	exitUnknown    = 5 // nobody can tell whether it ran
	exitIncomplete = 6 // an answer ended before it was whole
	exitLagging    = 7 // accepted, but not in force everywhere when the wait was over
	exitDiffers    = 8 // diff found differences
)

// options are the flags that all commands share.
type options struct {
	addresses []string
	output    string
	place     string
	parsed    bool // flags and arguments were good
}

func (o *options) client() *client.Client {
	return client.New(client.Settings{Addresses: o.addresses, Place: o.place})
}

func main() {
	o := &options{}
	err := newRoot(o).Execute()
	switch {
	case err == nil:
		return
	case !o.parsed:
		os.Exit(exitBadInput)
	}
	os.Exit(exitCode(err))
}

func newRoot(o *options) *cobra.Command {
	root := &cobra.Command{
		Use:           "vanillaroad",
		Short:         "Operate and call a vanillaroad site",
		SilenceUsage:  true,
		SilenceErrors: false,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			o.parsed = true
			if len(o.addresses) == 0 || (o.output != "text" && o.output != "json") {
				return errors.Wrap(errBadInput, "--address needs an address, --output is text or json")
			}
			return nil
		},
	}
	f := root.PersistentFlags()
	f.StringSliceVarP(&o.addresses, "address", "a", []string{"127.0.0.1:7100"}, "daemons to ask, IP:port")
	f.StringVarP(&o.output, "output", "o", "text", "output format: text or json")
	f.StringVar(&o.place, "place", "", "place to prefer daemons of")
	root.AddCommand(
		directoryCommand(o), generateCommand(o), confirmCommand(o), outcomeCommand(o),
		applyCommand(o), diffCommand(o), getCommand(o), describeCommand(o), historyCommand(o), rollbackCommand(o),
		statusCommand(o), membersCommand(o), drainCommand(o), timelineCommand(o), settingsCommand(), traceCommand(o), gatewayCommand(),
	)
	return root
}

// errBadInput marks errors of the person who typed the command.
var errBadInput = errors.New("bad input")

// Results that are no failures but that scripts tell apart by exit code.
var (
	errLagging = errors.New("not in force on all live daemons")
	errDiffers = errors.New("the documents differ")
)

func exitCode(err error) int {
	var f *failure.Error
	switch {
	case errors.Is(err, errBadInput):
		return exitBadInput
	case errors.Is(err, errLagging):
		return exitLagging
	case errors.Is(err, errDiffers):
		return exitDiffers
	case !errors.As(err, &f):
		return exitFailed
	}
	switch {
	case f.Code == failure.BadRequest:
		return exitBadInput
	case f.Code == failure.Conflict:
		return exitConflict
	case f.Outcome == failure.NotRun:
		return exitRefused
	case f.Outcome == failure.Unknown:
		return exitUnknown
	case f.Outcome == failure.Ran:
		return exitIncomplete
	}
	return exitFailed
}

func printf(c *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(c.OutOrStdout(), format, args...)
}
