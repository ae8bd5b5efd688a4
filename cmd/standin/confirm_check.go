package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sort"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/client"
	"github.com/vanillaroad/vanillaroad/failure"
)

// ErrFalseOutcome is returned when a key ran more than once or an outcome that a
// caller received is wrong.
var ErrFalseOutcome = errors.New("outcomes contradict the ledgers or each other")

// confirmReport compares the outcomes of a load run with the ledgers. Every field
// counts keys, except the last three: the median, the 99th percentile and the maximum
// of the wait for an outcome, in milliseconds.
type confirmReport struct {
	Keys        int     `json:"keys"`
	Ran         int     `json:"ran"`
	NotRun      int     `json:"not_run"`
	Unknown     int     `json:"unknown"`       // no caller received a known outcome
	UnknownRan  int     `json:"unknown_ran"`   // keys with an unknown outcome that did run
	RanTwice    int     `json:"twice_run"`     // ran more than once; must be 0
	FalseNotRun int     `json:"false_not_run"` // not_run was reported, but it ran; must be 0
	FalseRan    int     `json:"false_ran"`     // ran was reported, but it did not run; must be 0
	TwoOutcomes int     `json:"two_outcomes"`  // two different outcomes or answers were reported; must be 0
	Forgotten   int     `json:"forgotten"`     // a known outcome was followed by an unknown one
	P50Ms       float64 `json:"p50_ms"`
	P99Ms       float64 `json:"p99_ms"`
	MaxMs       float64 `json:"max_ms"`
}

// confirmCheckCommand compares the outcomes that callers received with the calls that
// targets ran.
func confirmCheckCommand() *cobra.Command {
	var ledgers []string
	c := &cobra.Command{Use: "confirm-check OUTCOMES", Short: "compare the outcomes of confirm-load with ledgers", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			runs, err := readLedgers(ledgers)
			if err != nil {
				return err
			}
			b, err := os.ReadFile(args[0])
			if err != nil {
				return errors.WithStack(err)
			}
			var results []keyResult
			if err := json.Unmarshal(b, &results); err != nil {
				return errors.Wrap(err, "decode outcomes")
			}
			r := report(results, runs)
			out, err := json.Marshal(r)
			fmt.Println(string(out))
			if r.RanTwice+r.FalseNotRun+r.FalseRan+r.TwoOutcomes > 0 {
				return ErrFalseOutcome
			}
			return err
		}}
	c.Flags().StringSliceVar(&ledgers, "ledgers", nil, "journal files of the booking services")
	return c
}

// readLedgers returns how often each key ran at all targets together. The files hold
// one line with the key for each run.
func readLedgers(files []string) (map[string]int, error) {
	runs := make(map[string]int)
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			runs[lines.Text()]++
		}
		_ = f.Close()
	}
	return runs, nil
}

// report compares the results with the number of runs of each key.
func report(results []keyResult, runs map[string]int) confirmReport {
	r := confirmReport{Keys: len(results)}
	for _, n := range runs {
		if n > 1 {
			r.RanTwice++
		}
	}
	var waits []float64
	for _, k := range results {
		r.add(k, runs[k.Key])
		waits = append(waits, k.WaitMs)
	}
	sort.Float64s(waits)
	if n := len(waits); n > 0 {
		r.P50Ms, r.P99Ms, r.MaxMs = waits[n/2], waits[n*99/100], waits[n-1]
	}
	return r
}

// add counts one key that ran the given number of times.
func (r *confirmReport) add(k keyResult, runs int) {
	var known *client.Outcome
	conflicting := false
	for i, o := range k.Outcomes {
		if o.Outcome != failure.Ran && o.Outcome != failure.NotRun {
			continue
		}
		if known != nil && (known.Outcome != o.Outcome || known.Answer != o.Answer) {
			conflicting = true
		}
		known = &k.Outcomes[i]
	}
	if conflicting {
		r.TwoOutcomes++
	}
	lastOutcome := k.Outcomes[len(k.Outcomes)-1].Outcome
	switch {
	case known == nil:
		r.Unknown++
		r.UnknownRan += min(runs, 1)
		return
	case lastOutcome != known.Outcome:
		r.Forgotten++
	}
	r.addKnown(known.Outcome, runs)
}

// addKnown counts a key whose outcome is ran or not_run.
func (r *confirmReport) addKnown(o failure.Outcome, runs int) {
	if o == failure.Ran {
		r.Ran++
		if runs == 0 {
			r.FalseRan++
		}
		return
	}
	r.NotRun++
	if runs > 0 {
		r.FalseNotRun++
	}
}
