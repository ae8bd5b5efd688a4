package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/standin"
)

// Phase is the result of one phase: a load through the daemons, a load straight to
// the targets, or idle daemons.
type Phase struct {
	Name          string             `json:"name"`
	Requests      int                `json:"requests"`
	Seconds       float64            `json:"seconds"`
	Generations   Generations        `json:"generations"`
	Confirmations Confirmations      `json:"confirmations"`
	Codes         map[string]int     `json:"codes,omitempty"` // errors by code; codes of confirmations begin with "confirm "
	Tokens        int64              `json:"tokens"`
	TokensPerSec  float64            `json:"tokens_per_second"`
	FirstToken    Quantiles          `json:"first_token"`
	BetweenTokens Quantiles          `json:"between_tokens"`
	MaxGap        Quantiles          `json:"widest_gap"` // longest gap between tokens of each answer
	Resume        Quantiles          `json:"resume"`     // gaps between tokens longer than Options.InterruptionGap
	Confirm       Quantiles          `json:"confirm"`    // latency of confirmations that ran
	Work          standin.WorkCounts `json:"work"`
	ExtraDecode   float64            `json:"extra_decode"` // tokens decoded beyond those that callers received, as a share of the received ones
	Ledger        LedgerCheck        `json:"ledger"`
	Daemons       DaemonUsage        `json:"daemons"`
	TokensPerCore float64            `json:"tokens_per_core_second"` // tokens per second of the daemons' processor time; 0 unless the load goes through the daemons
	PlatformCalls map[string]int64   `json:"platform_calls,omitempty"`
}

// LedgerCheck compares the outcomes that callers received with the ledgers of the booking
// services. Doubled keys ran more than once, FalseNotRun keys ran although not_run
// was reported, and FalseRan keys did not run although ran was reported.
type LedgerCheck struct {
	Read        bool `json:"read"` // all ledgers were read
	Doubled     int  `json:"doubled"`
	FalseNotRun int  `json:"false_not_run"`
	FalseRan    int  `json:"false_ran"`
	// UnknownRan is the number of keys with an unknown outcome that did run.
	UnknownRan int `json:"unknown_ran"`
}

func newPhase(name string, requests int, elapsed time.Duration, m *meter, s siteCounts) Phase {
	p := Phase{
		Name: name, Requests: requests, Seconds: elapsed.Seconds(), Generations: m.generations,
		Confirmations: m.confirmations, Codes: m.codes, Tokens: m.tokens,
		TokensPerSec: float64(m.tokens) / elapsed.Seconds(), FirstToken: quantiles(m.firstToken),
		BetweenTokens: quantiles(m.betweenTokens), MaxGap: quantiles(m.maxGap), Resume: quantiles(m.interruptions),
		Confirm: quantiles(m.confirmLatency), Work: s.work, Ledger: compareLedger(m.outcomes, s.ledger),
		Daemons: s.daemons, PlatformCalls: s.calls,
	}
	if m.tokens > 0 && s.work.DecodeTokens > 0 {
		p.ExtraDecode = float64(s.work.DecodeTokens)/float64(m.tokens) - 1
	}
	if name == systemPhase && s.daemons.CPUSeconds > 0 {
		p.TokensPerCore = float64(m.tokens) / s.daemons.CPUSeconds
	}
	return p
}

// compareLedger compares the outcome of each key with the number of its runs in the
// ledger. A nil ledger means that a ledger could not be read.
func compareLedger(outcomes map[string]failure.Outcome, ledger map[string]int) LedgerCheck {
	l := LedgerCheck{Read: ledger != nil}
	if !l.Read {
		return l
	}
	for key, o := range outcomes {
		runs := ledger[key]
		switch {
		case runs > 1:
			l.Doubled++
		case o == failure.NotRun && runs > 0:
			l.FalseNotRun++
		case o == failure.Ran && runs == 0:
			l.FalseRan++
		case o == failure.Unknown && runs > 0:
			l.UnknownRan++
		}
	}
	return l
}

// Overhead describes in one line what calls through the daemons, measured in p, cost
// in addition to direct calls. The processor time of idle daemons is measured in the
// direct phase and subtracted.
func (p Phase) Overhead(direct Phase) string {
	idle := direct.Daemons.CPUSeconds / direct.Seconds * p.Seconds
	micros := (p.Daemons.CPUSeconds - idle) / float64(max(p.Tokens, 1)) * microsPerSecond
	return fmt.Sprintf("beyond direct calls: first token p50 %+.1f p95 %+.1f ms, between tokens p50 %+.1f p95 %+.1f ms, confirmation p50 %+.1f p95 %+.1f ms, %.0f us of a core a token, prefill %+.0f %%",
		p.FirstToken.P50-direct.FirstToken.P50, p.FirstToken.P95-direct.FirstToken.P95,
		p.BetweenTokens.P50-direct.BetweenTokens.P50, p.BetweenTokens.P95-direct.BetweenTokens.P95,
		p.Confirm.P50-direct.Confirm.P50, p.Confirm.P95-direct.Confirm.P95, micros,
		100*(float64(p.Work.PrefillTokens)/float64(max(direct.Work.PrefillTokens, 1))-1))
}

// IdleSummary describes in one line the resources that each of n daemons used without
// load, and the calls to the platform per second.
func (p Phase) IdleSummary(n int) string {
	const mebibyte, kibibyte = 1 << 20, 1 << 10
	calls := int64(0)
	for _, c := range p.PlatformCalls {
		calls += c
	}
	perDaemon := 1 / float64(n)
	peerRates := make(map[string]int64)
	for slice, b := range p.Daemons.PeerBytes {
		peerRates[slice] = int64(float64(b) / p.Seconds * perDaemon)
	}
	return fmt.Sprintf("%d daemons, each: %.3f %% of a core, %.1f MiB, %.2f KiB/s read, %.2f KiB/s written; peers B/s %s; platform %.2f calls/s",
		n, 100*p.Daemons.CPUSeconds/p.Seconds*perDaemon, float64(p.Daemons.ResidentBytes)/mebibyte*perDaemon,
		float64(p.Daemons.ReadBytes)/kibibyte/p.Seconds*perDaemon, float64(p.Daemons.WrittenBytes)/kibibyte/p.Seconds*perDaemon,
		formatCounts(peerRates), float64(calls)/p.Seconds)
}

// NotComplete returns the number of generations without a complete answer.
func (p Phase) NotComplete() int {
	g := p.Generations
	return g.Incomplete + g.Refused + g.Failed + g.Wrong
}

// Faults describes the results that no phase may have: wrong answers, confirmations
// whose outcome contradicts the ledgers, and confirmations that could not be checked
// because a ledger could not be read.
func (p Phase) Faults() []string {
	var out []string
	add := func(n int, fault string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%s: %d %s", p.Name, n, fault))
		}
	}
	add(p.Generations.Wrong, "answers with tokens missing, repeated or mixed")
	add(p.Ledger.Doubled, "confirmations ran more than once")
	add(p.Ledger.FalseNotRun, "confirmations ran although not_run was reported")
	add(p.Ledger.FalseRan, "confirmations did not run although ran was reported")
	if !p.Ledger.Read && p.Confirmations.Ran+p.Confirmations.NotRun+p.Confirmations.Unknown > 0 {
		out = append(out, p.Name+": a ledger could not be read")
	}
	return append(out, p.Generations.Faults...)
}

// Summary describes a phase in one line.
func (p Phase) Summary() string {
	g := p.Generations
	sent := g.Complete + g.Incomplete + g.Refused + g.Failed + g.Wrong
	return fmt.Sprintf("%s: %d of %d answers whole, first token p95 %.1f ms, between tokens p95 %.1f ms, resume p50/p95/p99/max %.0f/%.0f/%.0f/%.0f ms (%d), extra decode %.2f %%, %.0f tokens/s per core",
		p.Name, g.Complete, sent, p.FirstToken.P95, p.BetweenTokens.P95,
		p.Resume.P50, p.Resume.P95, p.Resume.P99, p.Resume.Max, p.Resume.Count, 100*p.ExtraDecode, p.TokensPerCore)
}

// Write prints phases side by side as a table.
func Write(w io.Writer, phases ...Phase) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, cell func(Phase) string) {
		_, _ = fmt.Fprintf(t, "%s\t", name)
		for _, p := range phases {
			_, _ = fmt.Fprintf(t, "%s\t", cell(p))
		}
		_, _ = fmt.Fprintln(t)
	}
	row("", func(p Phase) string { return p.Name })
	row("requests", func(p Phase) string { return fmt.Sprint(p.Requests) })
	row("generations whole/incomplete/refused/failed/wrong", func(p Phase) string {
		g := p.Generations
		return fmt.Sprintf("%d/%d/%d/%d/%d", g.Complete, g.Incomplete, g.Refused, g.Failed, g.Wrong)
	})
	row("answers moved to another daemon", func(p Phase) string { return fmt.Sprint(p.Generations.Moved) })
	row("confirmations ran/not_run/unknown", func(p Phase) string {
		return fmt.Sprintf("%d/%d/%d", p.Confirmations.Ran, p.Confirmations.NotRun, p.Confirmations.Unknown)
	})
	row("ledger doubled/false not_run/false ran", func(p Phase) string {
		return fmt.Sprintf("%d/%d/%d", p.Ledger.Doubled, p.Ledger.FalseNotRun, p.Ledger.FalseRan)
	})
	timeRows(row)
	costRows(row)
	_ = t.Flush()
	for _, p := range phases {
		_, _ = fmt.Fprintf(w, "%s: codes %s; platform calls %s\n", p.Name, formatCounts(p.Codes), formatCounts(p.PlatformCalls))
	}
}

// rowWriter writes one table row with a cell for each phase.
type rowWriter func(name string, cell func(Phase) string)

func timeRows(row rowWriter) {
	quantileRow := func(name string, get func(Phase) Quantiles) {
		row(name+" ms p50/p95/p99/max (n)", func(p Phase) string {
			q := get(p)
			return fmt.Sprintf("%.1f/%.1f/%.1f/%.1f (%d)", q.P50, q.P95, q.P99, q.Max, q.Count)
		})
	}
	quantileRow("first token", func(p Phase) Quantiles { return p.FirstToken })
	quantileRow("between tokens", func(p Phase) Quantiles { return p.BetweenTokens })
	quantileRow("widest gap of an answer", func(p Phase) Quantiles { return p.MaxGap })
	quantileRow("resume latency", func(p Phase) Quantiles { return p.Resume })
	quantileRow("confirmation", func(p Phase) Quantiles { return p.Confirm })
}

func costRows(row rowWriter) {
	const mebibyte = 1 << 20
	row("tokens (a second)", func(p Phase) string { return fmt.Sprintf("%d (%.0f)", p.Tokens, p.TokensPerSec) })
	row("engines prefill/cached/decode", func(p Phase) string {
		return fmt.Sprintf("%d/%d/%d", p.Work.PrefillTokens, p.Work.CachedTokens, p.Work.DecodeTokens)
	})
	row("extra decode", func(p Phase) string { return fmt.Sprintf("%.2f %%", 100*p.ExtraDecode) })
	row("daemons' processor s", func(p Phase) string { return fmt.Sprintf("%.2f", p.Daemons.CPUSeconds) })
	row("daemons' memory MiB", func(p Phase) string {
		return fmt.Sprintf("%.0f", float64(p.Daemons.ResidentBytes)/mebibyte)
	})
	row("tokens a second per core", func(p Phase) string { return fmt.Sprintf("%.0f", p.TokensPerCore) })
}

// formatCounts returns the counts as "key=count", sorted by key, or "none".
func formatCounts[N int | int64](m map[string]N) string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for i, k := range keys {
		keys[i] = fmt.Sprintf("%s=%d", k, m[k])
	}
	if len(keys) == 0 {
		return "none"
	}
	return strings.Join(keys, " ")
}
