package load

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// Site names the processes that a load meets. All addresses are IP:port.
type Site struct {
	Daemons           []string
	Places            []string // of the callers, in turn
	Engines           []string // read for the work they did; called in direct mode
	Bookings          []string // read for their ledgers; called in direct mode
	Platform          string   // read for counted calls; empty for none
	GenerationService string   // name of the generation service
	PlainService      string   // name of the plain service
	// Model and ModelVersion are asked of engines in direct mode.
	Model, ModelVersion string
}

// Options bound a run.
type Options struct {
	// Deadline bounds one request, its whole answer included.
	Deadline time.Duration
	// InterruptionGap is the gap between two tokens from which an answer counts
	// as interrupted.
	InterruptionGap time.Duration
}

// Names of phases.
const (
	systemPhase = "system"
	directPhase = "direct"
	idlePhase   = "idle"
)

// Run sends the load through the daemons and returns what it measured.
func Run(ctx context.Context, s Shape, site Site, o Options) Phase {
	return run(ctx, systemPhase, Plan(s, systemPhase), newDaemonCaller(site), site, o)
}

// RunDirect sends the load straight to the targets, in turn.
func RunDirect(ctx context.Context, s Shape, site Site, o Options) Phase {
	return run(ctx, directPhase, Plan(s, directPhase), newDirectCaller(site), site, o)
}

// RunIdle sends nothing for a while and returns what the site cost.
func RunIdle(ctx context.Context, d time.Duration, site Site) Phase {
	r := startSiteReader(ctx, site, 0)
	start := time.Now()
	pause.For(ctx, d)
	elapsed := time.Since(start)
	return newPhase(idlePhase, 0, elapsed, newMeter(0), r.stop(ctx))
}

func run(ctx context.Context, name string, plan []PlannedRequest, c caller, site Site, o Options) Phase {
	defer c.close()
	m := newMeter(o.InterruptionGap)
	r := startSiteReader(ctx, site, pollPeriod)
	start := time.Now()
	sendAll(ctx, plan, c, m, o)
	elapsed := time.Since(start)
	counts := r.stop(ctx)
	return newPhase(name, len(plan), elapsed, m, counts)
}

// sendAll starts each request at its time, however many still run.
func sendAll(ctx context.Context, plan []PlannedRequest, c caller, m *meter, o Options) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for _, req := range plan {
		if !pause.For(ctx, time.Until(start.Add(req.Offset))) {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, o.Deadline)
			defer cancel()
			sendRequest(ctx, req, c, m)
		}()
	}
}

func sendRequest(ctx context.Context, req PlannedRequest, c caller, m *meter) {
	sent := time.Now()
	if req.Kind == Confirmation {
		key, outcome, err := c.confirm(ctx, req)
		m.recordConfirmation(key, time.Since(sent), outcome, err)
		return
	}
	var tokenTimes []time.Time
	answer, err := c.generate(ctx, req, func(t time.Time) { tokenTimes = append(tokenTimes, t) })
	m.recordGeneration(req, sent, tokenTimes, answer, err)
}
