// Command vanillaroad is the command-line tool for operators and callers.
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
	exitFailed     = 1 // any failure that has no code of its own below
	exitBadInput   = 2 // bad arguments, settings or documents
	exitConflict   = 3 // another configuration change was accepted first
	exitRefused    = 4 // refused for now; the request did not run
	exitUnknown    = 5 // it is unknown whether the request ran
	exitIncomplete = 6 // the answer is incomplete
	exitLagging    = 7 // accepted, but not active on all live daemons within the wait
	exitDiffers    = 8 // diff found differences, or check-configuration warnings without errors
)

// options holds the flags shared by all commands.
type options struct {
	addresses []string
	output    string
	place     string
	parsed    bool // whether cobra accepted the flags and arguments
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
		Short:         "Operate a vanillaroad site and call its services",
		SilenceUsage:  true,
		SilenceErrors: false,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			o.parsed = true
			if len(o.addresses) == 0 || (o.output != "text" && o.output != "json") {
				return errors.Wrap(errBadInput, "--address must not be empty and --output must be text or json")
			}
			return nil
		},
	}
	f := root.PersistentFlags()
	f.StringSliceVarP(&o.addresses, "address", "a", []string{"127.0.0.1:7100"}, "daemons to call, IP:port")
	f.StringVarP(&o.output, "output", "o", "text", "output format: text or json")
	f.StringVar(&o.place, "place", "", "place whose daemons are preferred")
	root.AddCommand(
		directoryCommand(o), generateCommand(o), confirmCommand(o), outcomeCommand(o),
		applyCommand(o), diffCommand(o), getCommand(o), describeCommand(o), historyCommand(o), rollbackCommand(o),
		statusCommand(o), membersCommand(o), drainCommand(o), timelineCommand(o), settingsCommand(), traceCommand(o), gatewayCommand(o), rolloutsCommand(o),
	)
	return root
}

// errBadInput marks errors in arguments, settings or documents.
var errBadInput = errors.New("bad input")

// Results that are not failures but have their own exit codes for scripts.
var (
	errLagging = errors.New("the version is not active on all live daemons")
	errDiffers = errors.New("the documents differ")
	errWarns   = errors.New("the configuration has warnings")
)

// errStoreSilent means that the platform's store did not answer.
var errStoreSilent = errors.New("the store did not answer")

func exitCode(err error) int {
	var f *failure.Error
	switch {
	case errors.Is(err, errBadInput):
		return exitBadInput
	case errors.Is(err, errLagging):
		return exitLagging
	case errors.Is(err, errDiffers), errors.Is(err, errWarns):
		return exitDiffers
	case errors.Is(err, errStoreSilent):
		return exitRefused
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
