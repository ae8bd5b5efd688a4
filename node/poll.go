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

// Cost of polling. A daemon polls only the targets that it is a home of, each
// every minPollPeriod, or less often so that all together are polled at most
// pollRate times a second. Dead ones are polled twice as often, to be used again
// soon.
const (
	pollTick       = 50 * time.Millisecond
	minPollPeriod  = time.Second
	downPollPeriod = 500 * time.Millisecond
	pollRate       = 20 // a second
	maxPolls       = 32 // at one time
)

// cacheEvery is how many polls read the load for one that reads cache events
// as well.
const cacheEvery = 2

// pollState is the polling of one target.
type pollState struct {
	due     time.Time
	running bool
	count   int
}

// polled is the result of one poll.
type polled struct {
	asked  time.Time
	load   target.Load
	err    error
	events []target.CacheEvent
	read   bool // events were read
}

// pollPeriod returns the mean time between two polls of one target.
func pollPeriod(targets int) time.Duration {
	return max(minPollPeriod, time.Duration(targets)*time.Second/pollRate)
}

// poll starts the polls that are due.
func (a *admitter) poll(now time.Time) {
	running := 0
	for name, s := range a.polls {
		if s.running {
			running++
		} else if _, home := a.plan.targets[name]; !home {
			delete(a.polls, name)
		}
	}
	for name, t := range a.plan.targets {
		s := a.polls[name]
		if s == nil {
			s = &pollState{due: now.Add(time.Duration(rand.Int64N(int64(minPollPeriod) / 4)))}
			a.polls[name] = s
		}
		if s.running || now.Before(s.due) || running >= maxPolls {
			continue
		}
		running++
		s.running = true
		s.count++
		a.startPoll(now, t, s)
	}
}

func (a *admitter) startPoll(now time.Time, t configuration.Target, s *pollState) {
	client := a.n.targets.client(t.Address)
	cache := a.plan.kinds[t.Name] == configuration.Generation && s.count%cacheEvery == 1
	after := a.prefixes.LastSequence(t.Name)
	a.n.spawn(func() {
		r := polled{asked: now}
		r.load, r.err = client.Load(context.Background())
		if r.err == nil && cache {
			events, err := client.CacheEvents(context.Background(), after)
			r.events, r.read = events, err == nil
		}
		_ = a.n.loop.Post(func(now time.Time) { a.learn(now, t.Name, s, r) })
	})
}

func (a *admitter) learn(now time.Time, name string, s *pollState, r polled) {
	s.running = false
	if r.err != nil {
		s.due = now.Add(max(downPollPeriod, pollPeriod(len(a.plan.targets))/2))
		a.down(name)
		return
	}
	period := pollPeriod(len(a.plan.targets))
	s.due = now.Add(period*3/4 + time.Duration(rand.Int64N(int64(period)/2)))
	back, restarted := a.loads.ApplyReport(r.asked, name, r.load)
	if back {
		a.n.events.Record(event.TargetUp, "", event.F("target", name))
	}
	if restarted {
		a.prefixes.Forget(name)
		a.step(now, admission.Restarted{Target: name, Before: a.clock(a.loads.PreviousIncarnationSeen(name))})
	}
	if r.read && !restarted {
		a.prefixes.Apply(a.clock(now), name, r.events)
	}
	a.freeIdle(now, name, r.load)
	if a.controller.Stats().Queued > 0 {
		a.step(now, admission.Wake{})
	}
}

// block tells the controller which targets became dead or leaving, or are no
// longer.
func (a *admitter) block(now time.Time) {
	for name, t := range a.plan.targets {
		report, _ := a.loads.Report(name)
		blocked := a.loads.Down(name) || a.leaving(&t, report.Leaving)
		if blocked != a.blocked[name] {
			a.blocked[name] = blocked
			a.step(now, admission.Block{Target: name, Blocked: blocked})
		}
	}
}

// down notes that a target was found dead, and polls it soon.
func (a *admitter) down(name string) {
	if a.loads.Down(name) {
		return
	}
	a.loads.MarkDown(name)
	a.n.events.Record(event.TargetDown, "", event.F("target", name))
}
