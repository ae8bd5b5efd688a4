// Command vanillaroad-load sends an open load to a running site, checks every
// answer and every confirmation, and prints what callers saw.
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
	modeSystem = "system" // through the daemons
	modeDirect = "direct" // straight to the targets
	modeBoth   = "both"   // direct first, then through the daemons
	modeIdle   = "idle"   // no load: what the daemons cost alone
)

// errFaults is returned when a check failed.
var errFaults = errors.New("the load found faults")

type options struct {
	shape      load.Shape
	site       load.Site
	runOptions load.Options
	mode       string
	jsonFile   string
	limits     limits
}

// limits are demands on a run beyond those that always hold.
type limits struct {
	complete        bool          // every answer must be whole
	final           bool          // every answer must be whole or have a final end
	maxInterruption time.Duration // no answer may be interrupted for longer; 0: no limit
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
		Use: "vanillaroad-load", Short: "Measure a site under an open load", Args: cobra.NoArgs, SilenceUsage: true,
		Example: "  vanillaroad-load -a 127.0.1.1:7100 --engines 127.0.2.1:8000 --bookings 127.0.3.1:9000",
		RunE:    func(c *cobra.Command, _ []string) error { return run(c.Context(), o, c.OutOrStdout()) },
	}
	siteFlags(c, o)
	shapeFlags(c, o)
	return c
}

func siteFlags(c *cobra.Command, o *options) {
	f := c.Flags()
	f.StringVar(&o.mode, "mode", modeSystem, "system, direct, both or idle")
	f.BoolVar(&o.limits.complete, "whole", false, "fail unless every answer is whole")
	f.BoolVar(&o.limits.final, "final", false, "fail unless every answer is whole or has a typed, final end")
	f.DurationVar(&o.limits.maxInterruption, "resume-within", 0, "fail if an answer was interrupted for longer")
	f.StringVar(&o.jsonFile, "json", "", "file for the result as JSON")
	f.StringSliceVarP(&o.site.Daemons, "address", "a", []string{"127.0.0.1:7100"}, "daemons, IP:port")
	f.StringSliceVar(&o.site.Places, "places", nil, "places of the callers, in turn")
	f.StringSliceVar(&o.site.Engines, "engines", nil, "engines, IP:port: their work is read")
	f.StringSliceVar(&o.site.Bookings, "bookings", nil, "booking services, IP:port: their ledgers are read")
	f.StringVar(&o.site.Platform, "platform", "", "platform, IP:port: its counted calls are read")
	f.StringVar(&o.site.GenerationService, "generation", "pisar", "generation service")
	f.StringVar(&o.site.PlainService, "plain", "sejemski-vpis", "plain service")
	f.StringVar(&o.site.Model, "model", "writer", "model in direct mode")
	f.StringVar(&o.site.ModelVersion, "model-version", "1", "model version in direct mode")
	f.DurationVar(&o.runOptions.Deadline, "deadline", time.Minute, "longest time of one request")
	f.DurationVar(&o.runOptions.InterruptionGap, "interruption", 300*time.Millisecond, "gap from which an answer counts as interrupted")
}

func shapeFlags(c *cobra.Command, o *options) {
	f, s := c.Flags(), &o.shape
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of the plan")
	f.DurationVar(&s.Duration, "duration", s.Duration, "time of arrivals")
	f.Float64Var(&s.Rate, "rate", s.Rate, "requests a second")
	f.Float64Var(&s.ConfirmationShare, "confirmations", s.ConfirmationShare, "share of confirmations, 0 to 1")
	f.StringSliceVar(&s.Workspaces, "workspaces", s.Workspaces, "workspaces, the largest first")
	f.Int64Var(&s.MedianTokens, "median-tokens", s.MedianTokens, "median length of an ordinary answer")
	f.Float64Var(&s.LongShare, "long", s.LongShare, "share of long answers, 0 to 1")
	f.Int64Var(&s.LongMin, "long-min", s.LongMin, "tokens of the shortest long answer")
	f.Int64Var(&s.LongMax, "long-max", s.LongMax, "tokens of the longest answer")
	f.IntVar(&s.Prefixes, "prefixes", s.Prefixes, "shared prompt prefixes of a workspace")
	f.IntVar(&s.PrefixChars, "prefix-chars", s.PrefixChars, "characters of a shared prefix")
}

func (o *options) check() error {
	s := o.shape
	validModes := map[string]bool{modeSystem: true, modeDirect: true, modeBoth: true, modeIdle: true}
	switch {
	case !validModes[o.mode]:
		return errors.Errorf("mode %q is none of %s, %s, %s, %s", o.mode, modeSystem, modeDirect, modeBoth, modeIdle)
	case s.Rate <= 0 || s.Duration <= 0:
		return errors.New("rate and duration must be above zero")
	case len(s.Workspaces) == 0 || s.Prefixes < 1 || s.PrefixChars < 0:
		return errors.New("a load needs a workspace and a prefix")
	case s.LongMin < 1 || s.LongMax < s.LongMin:
		return errors.New("long-max must be at least long-min")
	case (o.mode == modeDirect || o.mode == modeBoth) && (len(o.site.Engines) == 0 || len(o.site.Bookings) == 0):
		return errors.New("direct mode needs --engines and --bookings")
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
	return printVerdict(out, phases, o.limits)
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

func printVerdict(out io.Writer, phases []load.Phase, l limits) error {
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

// faults names the demands that a phase did not meet.
func (l limits) faults(p load.Phase) []string {
	var faults []string
	if n := p.NotComplete(); l.complete && n > 0 {
		faults = append(faults, fmt.Sprintf("%s: %d answers are not whole", p.Name, n))
	}
	if n := p.Generations.Failed; l.final && n > 0 {
		faults = append(faults, fmt.Sprintf("%s: %d answers have no final end", p.Name, n))
	}
	if limit := float64(l.maxInterruption.Milliseconds()); limit > 0 && p.Resume.Max > limit {
		faults = append(faults, fmt.Sprintf("%s: an answer was interrupted for %.0f ms", p.Name, p.Resume.Max))
	}
	return faults
}
