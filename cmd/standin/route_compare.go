package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/routing/compare"
)

// routeCompareCommand runs all routing policies on the same trace.
func routeCompareCommand() *cobra.Command {
	var seed uint64
	var inputFile, outputFile string
	shape, site := compare.DefaultShape(), compare.DefaultSite()
	c := &cobra.Command{Use: "route-compare", Short: "compare routing policies on one trace", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			trace, err := readOrGenerateTrace(inputFile, shape, seed)
			if err != nil {
				return err
			}
			if err := writeTrace(outputFile, trace); err != nil {
				return err
			}
			return compareRoutes(c.OutOrStdout(), site, trace, seed)
		}}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "seed of the trace and of random choices by the policies")
	f.StringVar(&inputFile, "read", "", "trace file to use instead of a generated trace")
	f.StringVar(&outputFile, "write", "", "file to write the trace to")
	f.IntVar(&shape.Requests, "requests", shape.Requests, "number of requests in the trace")
	f.Float64Var(&shape.Rate, "rate", shape.Rate, "mean requests per second")
	f.IntVar(&shape.Workspaces, "workspaces", shape.Workspaces, "number of workspaces, which are of uneven size")
	f.IntVar(&shape.Prefixes, "prefixes", shape.Prefixes, "number of shared prompt prefixes per workspace")
	f.IntVar(&site.Engines, "engines", site.Engines, "number of engines")
	f.IntVar(&site.Daemons, "daemons", site.Daemons, "number of daemons")
	f.DurationVar(&site.LoadLag, "load-lag", site.LoadLag, "minimum time between two load reports of an engine")
	f.DurationVar(&site.PollPeriod, "poll-period", site.PollPeriod, "mean time between two polls of an engine by a daemon")
	return c
}

func readOrGenerateTrace(path string, shape compare.Shape, seed uint64) ([]compare.Arrival, error) {
	if path == "" {
		return compare.Generate(shape, seed), nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	defer func() { _ = file.Close() }()
	return compare.Read(file)
}

func writeTrace(path string, trace []compare.Arrival) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create trace")
	}
	if err := compare.Write(file, trace); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "close trace")
}

func compareRoutes(out io.Writer, site compare.Site, trace []compare.Arrival, seed uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "policy\tfirst token p50 ms\tp95 ms\tp99 ms\tmax ms\tprefill Mtokens\tcached %\tpeak load\t")
	for _, p := range compare.Policies() {
		r := compare.Run(site, trace, p, seed)
		ms := func(q float64) float64 { return float64(r.FirstToken.ValueAtQuantile(q)) / 1000 }
		const million, percent = 1e6, 100
		_, _ = fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.1f\t%.2f\t\n", r.Policy, ms(50), ms(95), ms(99), ms(100),
			float64(r.PrefillTokens)/million, percent*float64(r.CachedTokens)/float64(r.CachedTokens+r.PrefillTokens), r.PeakLoad)
	}
	return errors.Wrap(w.Flush(), "write table")
}
