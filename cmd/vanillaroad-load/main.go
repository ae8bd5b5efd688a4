// Command vanillaroad-load sends an open-loop load to a running site, checks every
// answer and every confirmation, and prints the latencies and results of the callers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/internal/load"
)

// Modes of a run.
const (
	modeSystem = "system" // requests through the daemons
	modeDirect = "direct" // requests straight to the targets
	modeBoth   = "both"   // direct first, then system
	modeIdle   = "idle"   // no requests; measures the resources of idle daemons
)

// errFaults is returned when a check has failed.
var errFaults = errors.New("checks of the load failed")

// options are the flags of the command.
type options struct {
	shape      load.Shape
	site       load.Site
	runOptions load.Options
	mode       string
	jsonFile   string
	limits     limits
}

// limits are optional requirements on a run besides the checks that always apply.
type limits struct {
	complete        bool          // every answer must be complete
	final           bool          // every answer must be complete or end with a typed, final error
	maxInterruption time.Duration // longest allowed interruption of an answer; 0 for no limit
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newRoot().ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	o := &options{shape: load.DefaultShape()}
	c := &cobra.Command{
		Use: "vanillaroad-load", Short: "Measure a site under an open-loop load", Args: cobra.NoArgs, SilenceUsage: true,
		Example: "  vanillaroad-load -a 127.0.1.1:7100 --engines 127.0.2.1:8000 --bookings 127.0.3.1:9000",
		RunE:    func(c *cobra.Command, _ []string) error { return run(c.Context(), o, c.OutOrStdout()) },
	}
	addSiteFlags(c, o)
	addShapeFlags(c, o)
	return c
}

func addSiteFlags(c *cobra.Command, o *options) {
	f := c.Flags()
	f.StringVar(&o.mode, "mode", modeSystem, "mode: system, direct, both or idle")
	f.BoolVar(&o.limits.complete, "whole", false, "fail unless every answer is complete")
	f.BoolVar(&o.limits.final, "final", false, "fail unless every answer is complete or ends with a typed, final error")
	f.DurationVar(&o.limits.maxInterruption, "resume-within", 0, "fail if an answer was interrupted for longer than this; 0 for no limit")
	f.StringVar(&o.jsonFile, "json", "", "file to write the result to, as JSON")
	f.StringSliceVarP(&o.site.Daemons, "address", "a", []string{"127.0.0.1:7100"}, "daemons, IP:port")
	f.StringSliceVar(&o.site.Places, "places", nil, "places that are assigned to the callers in turn")
	f.StringSliceVar(&o.site.Engines, "engines", nil, "engines, IP:port; their work counters are read")
	f.StringSliceVar(&o.site.Bookings, "bookings", nil, "booking services, IP:port; their ledgers are read")
	f.StringVar(&o.site.Platform, "platform", "", "platform, IP:port; its call counters are read")
	f.StringVar(&o.site.GenerationService, "generation", "pisar", "name of the generation service")
	f.StringVar(&o.site.PlainService, "plain", "sejemski-vpis", "name of the plain service")
	f.StringVar(&o.site.Model, "model", "writer", "model in direct mode")
	f.StringVar(&o.site.ModelVersion, "model-version", "1", "model version in direct mode")
	f.DurationVar(&o.runOptions.Deadline, "deadline", time.Minute, "maximum time of one request")
	f.DurationVar(&o.runOptions.InterruptionGap, "interruption", 300*time.Millisecond, "gap between two tokens above which an answer counts as interrupted")
}

func addShapeFlags(c *cobra.Command, o *options) {
	f, s := c.Flags(), &o.shape
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of the plan")
	f.DurationVar(&s.Duration, "duration", s.Duration, "time during which requests arrive")
	f.Float64Var(&s.Rate, "rate", s.Rate, "mean requests per second")
	f.Float64Var(&s.ConfirmationShare, "confirmations", s.ConfirmationShare, "share of confirmations, 0 to 1")
	f.StringSliceVar(&s.Workspaces, "workspaces", s.Workspaces, "workspaces, the one with the most requests first")
	f.Int64Var(&s.MedianTokens, "median-tokens", s.MedianTokens, "median length of an ordinary answer in tokens")
	f.Float64Var(&s.LongShare, "long", s.LongShare, "share of generations with a long answer, 0 to 1")
	f.Int64Var(&s.LongMin, "long-min", s.LongMin, "length of the shortest long answer in tokens")
	f.Int64Var(&s.LongMax, "long-max", s.LongMax, "length of the longest answer in tokens")
	f.IntVar(&s.Prefixes, "prefixes", s.Prefixes, "number of shared prompt prefixes per workspace")
	f.IntVar(&s.PrefixChars, "prefix-chars", s.PrefixChars, "length of a shared prompt prefix in characters")
}

// check validates the flags.
func (o *options) check() error {
	s := o.shape
	validModes := map[string]bool{modeSystem: true, modeDirect: true, modeBoth: true, modeIdle: true}
	switch {
	case !validModes[o.mode]:
		return errors.Errorf("mode %q is none of %s, %s, %s, %s", o.mode, modeSystem, modeDirect, modeBoth, modeIdle)
	case s.Rate <= 0 || s.Duration <= 0:
		return errors.New("--rate and --duration must be above zero")
	case len(s.Workspaces) == 0 || s.Prefixes < 1 || s.PrefixChars < 0:
		return errors.New("--workspaces must not be empty, --prefixes must be at least 1 and --prefix-chars at least 0")
	case s.LongMin < 1 || s.LongMax < s.LongMin:
		return errors.New("--long-min must be at least 1 and --long-max at least --long-min")
	case (o.mode == modeDirect || o.mode == modeBoth) && (len(o.site.Engines) == 0 || len(o.site.Bookings) == 0):
		return errors.New("modes direct and both need --engines and --bookings")
	}
	return nil
}

func run(ctx context.Context, o *options, out io.Writer) error {
	if err := o.check(); err != nil {
		return err
	}
	if o.mode == modeIdle {
		p := load.RunIdle(ctx, o.shape.Duration, o.site)
		_, _ = fmt.Fprintln(out, p.IdleSummary(len(o.site.Daemons)))
		return writeJSON(o.jsonFile, []load.Phase{p})
	}
	var phases []load.Phase
	if o.mode != modeSystem {
		phases = append(phases, load.RunDirect(ctx, o.shape, o.site, o.runOptions))
	}
	if o.mode != modeDirect {
		phases = append(phases, load.Run(ctx, o.shape, o.site, o.runOptions))
	}
	load.Write(out, phases...)
	if o.mode == modeBoth {
		_, _ = fmt.Fprintln(out, "cost:", phases[1].Overhead(phases[0]))
	}
	if err := writeJSON(o.jsonFile, phases); err != nil {
		return err
	}
	return printSummaries(out, phases, o.limits)
}

func writeJSON(path string, phases []load.Phase) error {
	if path == "" {
		return nil
	}
	b, err := json.MarshalIndent(phases, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	const fileMode = 0o644
	return errors.Wrap(os.WriteFile(path, append(b, '\n'), fileMode), "write result")
}

// printSummaries prints the summary and the faults of each phase. It returns errFaults if
// there is a fault.
func printSummaries(out io.Writer, phases []load.Phase, l limits) error {
	faulty := false
	for _, p := range phases {
		_, _ = fmt.Fprintln(out, "summary:", p.Summary())
		for _, f := range append(l.faults(p), p.Faults()...) {
			faulty = true
			_, _ = fmt.Fprintln(out, "fault:", f)
		}
	}
	if faulty {
		return errFaults
	}
	return nil
}

// faults describes the limits that a phase violates.
func (l limits) faults(p load.Phase) []string {
	var faults []string
	if n := p.NotComplete(); l.complete && n > 0 {
		faults = append(faults, fmt.Sprintf("%s: %d answers are not complete, want none", p.Name, n))
	}
	if n := p.Generations.Failed; l.final && n > 0 {
		faults = append(faults, fmt.Sprintf("%s: %d answers are neither complete nor end with a typed, final error, want none", p.Name, n))
	}
	if limit := float64(l.maxInterruption.Milliseconds()); limit > 0 && p.Resume.Max > limit {
		faults = append(faults, fmt.Sprintf("%s: an answer was interrupted for %.0f ms, longer than --resume-within allows", p.Name, p.Resume.Max))
	}
	return faults
}
