package load

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// Site lists the processes under load. All addresses are IP:port.
type Site struct {
	Daemons           []string
	Places            []string // assigned to the callers in turn
	Engines           []string // their work counters are read; called in direct mode
	Bookings          []string // booking services; their ledgers are read; called in direct mode
	Platform          string   // its call counters are read; empty if there is none
	GenerationService string   // name of the generation service
	PlainService      string   // name of the plain service
	// Model and ModelVersion are requested from engines in direct mode.
	Model, ModelVersion string
}

// Options configure how Run and RunDirect send a load and measure it.
type Options struct {
	// Deadline is the longest time of one request, up to the end of its answer.
	Deadline time.Duration
	// InterruptionGap is the gap between two tokens above which an answer counts
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

// RunDirect sends the load straight to the targets, in turn, and returns what it
// measured.
func RunDirect(ctx context.Context, s Shape, site Site, o Options) Phase {
	return run(ctx, directPhase, Plan(s, directPhase), newDirectCaller(site), site, o)
}

// RunIdle waits for the duration d without sending requests and returns the resources
// that the site used.
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

// sendAll starts each request at its planned time, regardless of how many are still
// running, and waits for all of them.
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
