package load

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// Site names the processes that a load meets. All addresses are IP:port.
type Site struct {
	Daemons    []string
	Places     []string // of the callers, in turn
	Engines    []string // read for the work they did; called in direct mode
	Bookings   []string // read for their ledgers; called in direct mode
	Platform   string   // read for counted calls; empty for none
	Generation string   // name of the generation service
	Plain      string   // name of the plain service
	// Model and ModelVersion are asked of engines in direct mode.
	Model, ModelVersion string
}

// Options bound a run.
type Options struct {
	// Deadline bounds one request, its whole answer included.
	Deadline time.Duration
	// Interruption is the gap between two tokens from which an answer counts
	// as interrupted.
	Interruption time.Duration
}

// Names of phases.
const (
	systemPhase = "system"
	directPhase = "direct"
	idlePhase   = "idle"
)

// Run sends the load through the daemons and returns what it measured.
func Run(ctx context.Context, s Shape, site Site, o Options) Phase {
	return run(ctx, systemPhase, Plan(s, systemPhase), newSiteCaller(site), site, o)
}

// RunDirect sends the load straight to the targets, in turn.
func RunDirect(ctx context.Context, s Shape, site Site, o Options) Phase {
	return run(ctx, directPhase, Plan(s, directPhase), newDirectCaller(site), site, o)
}

// RunIdle sends nothing for a while and returns what the site cost.
func RunIdle(ctx context.Context, d time.Duration, site Site) Phase {
	w := watchSite(ctx, site, 0)
	start := time.Now()
	pause.For(ctx, d)
	took := time.Since(start)
	return newPhase(idlePhase, 0, took, newMeter(0), w.end(ctx))
}

func run(ctx context.Context, name string, plan []Item, c caller, site Site, o Options) Phase {
	defer c.close()
	m := newMeter(o.Interruption)
	w := watchSite(ctx, site, pollPeriod)
	start := time.Now()
	send(ctx, plan, c, m, o)
	took := time.Since(start)
	seen := w.end(ctx)
	return newPhase(name, len(plan), took, m, seen)
}

// send starts each request at its time, however many still run.
func send(ctx context.Context, plan []Item, c caller, m *meter, o Options) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for _, i := range plan {
		if !pause.For(ctx, time.Until(start.Add(i.At))) {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, o.Deadline)
			defer cancel()
			call(ctx, i, c, m)
		}()
	}
}

func call(ctx context.Context, i Item, c caller, m *meter) {
	sent := time.Now()
	if i.Kind == Confirmation {
		key, outcome, err := c.confirm(ctx, i)
		m.confirmed(key, time.Since(sent), outcome, err)
		return
	}
	var at []time.Time
	answer, err := c.generate(ctx, i, func(t time.Time) { at = append(at, t) })
	m.answered(i, sent, at, answer, err)
}
