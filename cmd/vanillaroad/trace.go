package main

import (
	"encoding/json"
	"os"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/trace"
	"github.com/vanillaroad/vanillaroad/trace/replayers"
)

func traceCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Show and replay the inputs and decisions recorded by a daemon"}
	c.AddCommand(traceShowCommand(o), traceCutCommand(), traceReplayCommand())
	return c
}

// stepFilter selects steps by slice (the subsystem, such as generation) and by the key
// of the machine in it. An empty field matches all.
type stepFilter struct{ slice, key string }

// addFlags adds the flags of the filter to c.
func (f *stepFilter) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.slice, "slice", "", "only steps of this slice, such as generation")
	c.Flags().StringVar(&f.key, "key", "", "only steps of the machine with this key")
}

// read calls fn with each step of the trace at path that the filter matches.
func (f *stepFilter) read(path string, fn func(trace.Step) error) (trace.Header, error) {
	file, err := openTrace(path)
	if err != nil {
		return trace.Header{}, err
	}
	defer func() { _ = file.Close() }()
	h, err := trace.Read(file, func(s trace.Step) error {
		if (f.slice != "" && s.Slice != f.slice) || (f.key != "" && s.Key != f.key) {
			return nil
		}
		return fn(s)
	})
	return h, markBadTrace(err)
}

func traceCutCommand() *cobra.Command {
	var f stepFilter
	c := &cobra.Command{Use: "cut FILE", Short: "Write selected steps as a separate trace", Args: cobra.ExactArgs(1),
		Example: "  vanillaroad trace cut vm-1.trace --slice generation --key r-17 >r-17.trace",
		RunE: func(c *cobra.Command, args []string) error {
			var steps []trace.Step
			h, err := f.read(args[0], func(s trace.Step) error {
				steps = append(steps, s)
				return nil
			})
			if err != nil {
				return err
			}
			out := json.NewEncoder(c.OutOrStdout())
			if err := out.Encode(h); err != nil {
				return errors.WithStack(err)
			}
			for _, s := range steps {
				if err := out.Encode(s); err != nil {
					return errors.WithStack(err)
				}
			}
			return nil
		}}
	f.addFlags(c)
	return c
}

func traceShowCommand(o *options) *cobra.Command {
	var f stepFilter
	c := &cobra.Command{Use: "show FILE", Short: "Print the steps of a trace", Args: cobra.ExactArgs(1),
		Example: "  vanillaroad trace show vm-1.trace --slice generation --key r-17",
		RunE: func(c *cobra.Command, args []string) error {
			_, err := f.read(args[0], func(s trace.Step) error { return showStep(c, o, s) })
			return err
		}}
	f.addFlags(c)
	return c
}

func openTrace(path string) (*os.File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(errBadInput, err.Error())
	}
	return f, nil
}

// markBadTrace marks a malformed trace as bad input.
func markBadTrace(err error) error {
	if errors.Is(err, trace.ErrFormat) {
		return errors.Wrap(errBadInput, err.Error())
	}
	return err
}

func showStep(c *cobra.Command, o *options, s trace.Step) error {
	if o.output == "json" {
		return printJSON(c, s)
	}
	at := time.Unix(0, s.At).UTC().Format("15:04:05.000000")
	printf(c, "%s %s %s %s %s\n", at, s.Slice, s.Key, s.Input.Type, s.Input.Value)
	for _, d := range s.Decisions {
		printf(c, "    %s %s\n", d.Type, d.Value)
	}
	return nil
}

func traceReplayCommand() *cobra.Command {
	var outcomeFile string
	c := &cobra.Command{Use: "replay FILE", Short: "Run a trace through this program's decision logic", Args: cobra.ExactArgs(1),
		Long: "Run a trace through this program's decision logic. Exit status 1 means that a\n" +
			"decision differs from the recorded one, or the outcome from the expected one.",
		Example: "  vanillaroad trace replay vm-1.trace --outcome vm-1.json",
		RunE: func(c *cobra.Command, args []string) error {
			if err := replayTrace(c, args[0]); err != nil {
				return markBadTrace(err)
			}
			if outcomeFile == "" {
				return nil
			}
			return checkOutcome(c, args[0], outcomeFile)
		}}
	c.Flags().StringVar(&outcomeFile, "outcome", "", "file with the expected outcome, JSON")
	return c
}

func replayTrace(c *cobra.Command, path string) error {
	f, err := openTrace(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	steps, err := trace.Replay(f, replayers.All())
	if err != nil {
		return err
	}
	printf(c, "%d steps replayed to the same decisions\n", steps)
	return printDecisions(c, path)
}

// printDecisions prints how often each decision was made.
func printDecisions(c *cobra.Command, path string) error {
	f, err := openTrace(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	counts, err := trace.CountDecisions(f)
	if err != nil {
		return err
	}
	names := make([]string, 0, len(counts))
	for n := range counts {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		printf(c, "%8d %s\n", counts[n], n)
	}
	return nil
}

// checkOutcome compares the trace at path with the expected outcome in outcomeFile.
func checkOutcome(c *cobra.Command, path, outcomeFile string) error {
	b, err := os.ReadFile(outcomeFile)
	if err != nil {
		return errors.Wrap(errBadInput, err.Error())
	}
	var o trace.Outcome
	if err := json.Unmarshal(b, &o); err != nil {
		return errors.Wrap(errBadInput, err.Error())
	}
	f, err := openTrace(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := o.Check(f); err != nil {
		return err
	}
	printf(c, "the outcome is as stated: %s\n", o.About)
	return nil
}
