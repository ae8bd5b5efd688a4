package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vanillaroad/vanillaroad/admission"
	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/target"
)

// Limits of polling. A daemon polls only the targets that it is a home of (whose permits
// it shares): each once per minPollPeriod, or less often to keep within pollsPerSecond
// for all of them. Targets that are down are polled twice as often, so that they are
// soon used again once they recover.
const (
	pollCheckPeriod    = 50 * time.Millisecond
	minPollPeriod      = time.Second
	downPollPeriod     = 500 * time.Millisecond
	pollsPerSecond     = 20
	maxConcurrentPolls = 32
)

// pollsPerCachePoll is the ratio of all polls of a target to those that read the events
// of its prefix cache in addition to the load report.
const pollsPerCachePoll = 2

// pollState is the state of polling one target.
type pollState struct {
	nextAt    time.Time
	running   bool // a poll is in flight
	pollCount int
}

// pollResult holds the load report that a target returned to one poll, or the error of
// the poll, and the events of the prefix cache if the poll also read them.
type pollResult struct {
	sentAt     time.Time // start of the poll
	load       target.Load
	err        error
	events     []target.CacheEvent
	eventsRead bool // events is valid
}

// pollPeriod returns the mean time between two polls of one target.
func pollPeriod(targets int) time.Duration {
	return max(minPollPeriod, time.Duration(targets)*time.Second/pollsPerSecond)
}

// startDuePolls starts the polls that are due.
func (a *admitter) startDuePolls(now time.Time) {
	running := 0
	for name, s := range a.polls {
		if s.running {
			running++
		} else if _, isHome := a.plan.targets[name]; !isHome {
			delete(a.polls, name)
		}
	}
	for name, t := range a.plan.targets {
		s := a.polls[name]
		if s == nil {
			s = &pollState{nextAt: now.Add(time.Duration(rand.Int64N(int64(minPollPeriod) / 4)))}
			a.polls[name] = s
		}
		if s.running || now.Before(s.nextAt) || running >= maxConcurrentPolls {
			continue
		}
		running++
		s.running = true
		s.pollCount++
		a.startPoll(now, t, s)
	}
}

func (a *admitter) startPoll(now time.Time, t configuration.Target, s *pollState) {
	client := a.n.targetClients.client(t.Address)
	readCache := a.plan.serviceKinds[t.Name] == configuration.Generation && s.pollCount%pollsPerCachePoll == 1
	lastSequence := a.prefixes.LastSequence(t.Name)
	a.n.spawn(func() {
		result := pollResult{sentAt: now}
		result.load, result.err = client.Load(context.Background())
		if result.err == nil && readCache {
			events, err := client.CacheEvents(context.Background(), lastSequence)
			result.events, result.eventsRead = events, err == nil
		}
		_ = a.n.loop.Post(func(now time.Time) { a.handlePoll(now, t.Name, s, result) })
	})
}

func (a *admitter) handlePoll(now time.Time, name string, s *pollState, result pollResult) {
	s.running = false
	if result.err != nil {
		s.nextAt = now.Add(max(downPollPeriod, pollPeriod(len(a.plan.targets))/2))
		a.markDown(name)
		return
	}
	period := pollPeriod(len(a.plan.targets))
	s.nextAt = now.Add(period*3/4 + time.Duration(rand.Int64N(int64(period)/2)))
	recovered, restarted := a.loads.ApplyReport(result.sentAt, name, result.load)
	if recovered {
		a.n.events.Record(event.TargetUp, "", event.F("target", name))
	}
	if restarted {
		a.prefixes.Forget(name)
		a.step(now, admission.Restarted{Target: name, Before: a.wallTime(a.loads.PreviousIncarnationSeen(name))})
	}
	if result.eventsRead && !restarted {
		a.prefixes.Apply(a.wallTime(now), name, result.events)
	}
	a.releaseOnIdleTarget(now, name, result.load)
	if a.controller.Stats().Queued > 0 {
		a.step(now, admission.Wake{})
	}
}

// updateBlocked reports to the controller which targets have become blocked, because
// they are down or leaving, and which are no longer blocked.
func (a *admitter) updateBlocked(now time.Time) {
	for name, t := range a.plan.targets {
		report, _ := a.loads.Report(name)
		blocked := a.loads.Down(name) || a.isLeaving(&t, report.Leaving)
		if blocked != a.blocked[name] {
			a.blocked[name] = blocked
			a.step(now, admission.Block{Target: name, Blocked: blocked})
		}
	}
}

// markDown marks a target as down until a poll succeeds.
func (a *admitter) markDown(name string) {
	if a.loads.Down(name) {
		return
	}
	a.loads.MarkDown(name)
	a.n.events.Record(event.TargetDown, "", event.F("target", name))
}
