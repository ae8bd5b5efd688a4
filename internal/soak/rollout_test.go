package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/platform"
)

// Bounds of roll-outs, as in the settings of a process.
const (
	rolloutShare   = 0.1
	rolloutSlack   = 50
	rollbackWithin = 5 * time.Second
	// badResponses of a version are enough for rollbackWithin to count.
	badResponses = 50
	// stateApply is the time in which daemons that are in contact with the store apply a final state.
	stateApply = 2 * time.Second
)

// rolloutLimit is the time limit of an order, rolloutPoll the time between two looks at its status.
const (
	rolloutLimit = 12 * time.Second
	rolloutPoll  = 20 * time.Millisecond
)

// newEngines is the number of engines of the version under roll-out. Their service is the one of
// calls.
const newEngines = 2

// rollout is the roll-out of a version during a soak.
type rollout struct {
	bad     bool
	failing float64                   // part of the new version's answers that fail
	badFrom time.Duration             // age of the order from which on they do
	ordered atomic.Pointer[time.Time] // nil before the order
	engines map[string]bool           // of the new version, by id

	failed   atomic.Int64
	fiftieth atomic.Pointer[time.Time] // when that many had failed
	state    string                    // the final one
	finalAt  time.Time
	changed  []string // states that were stored after the final one
}

// newRollout draws the roll-out of a seed. It alternates between good and bad versions.
func newRollout(seed uint64) *rollout {
	rng := rand.New(rand.NewPCG(seed, 9))
	r := &rollout{engines: make(map[string]bool)}
	if r.bad = seed%2 == 1; r.bad {
		r.failing, r.badFrom = 0.3+0.5*rng.Float64(), upTo(rng, rolloutLimit/2)
	}
	return r
}

// addNewEngines starts the engines of the new version. They are registered with the order.
func (s *site) addNewEngines(prefix string) {
	for i := range newEngines {
		address := fmt.Sprintf("%s.%d", prefix, 200+i)
		e := startEngine(s.t, s.ledger, fmt.Sprint("new-", i), callService, address+":8686", false)
		e.version, e.site = "v2", s
		s.links = append(s.links, startProxy(s.t, address+":8687", e.address))
		e.address = address + ":8687"
		s.engines = append(s.engines, e)
		s.rollout.engines[e.id] = true
	}
}

// fails reports whether an answer of the new version is to fail, and counts it.
func (r *rollout) fails() bool {
	if time.Since(*r.ordered.Load()) < r.badFrom || rand.Float64() >= r.failing {
		return false
	}
	if r.failed.Add(1) == badResponses {
		now := time.Now()
		r.fiftieth.Store(&now)
	}
	return true
}

// rollOut orders the roll-out at a random time, starts the new engines, and follows the status until
// done is closed.
func (s *site) rollOut(done <-chan struct{}, seed uint64) {
	r := s.rollout
	select {
	case <-done:
		return
	case <-time.After(time.Second + upTo(rand.New(rand.NewPCG(seed, 10)), 4*time.Second)):
	}
	ordered := time.Now()
	r.ordered.Store(&ordered)
	s.put(platform.RolloutKind, callService, map[string]any{"service": callService, "target": "v2", "duration_s": rolloutLimit.Seconds()})
	for _, e := range s.engines {
		if e.version == "v2" {
			s.put(platform.TargetKind, e.id, e.entry())
		}
	}
	for {
		select {
		case <-done:
			return
		case <-time.After(rolloutPoll):
		}
		o, err := s.store.Get(context.Background(), platform.RolloutKind, callService)
		var status struct{ State, Target string }
		if err != nil || json.Unmarshal(o.Status, &status) != nil || status.State != "completed" && status.State != "rolled_back" {
			continue
		}
		if r.state == "" {
			r.state, r.finalAt = status.State, time.Now()
			s.t.Logf("%7.3f s  the roll-out has the state %s, its order is %.3f s old", r.finalAt.Sub(s.start).Seconds(), r.state, r.finalAt.Sub(ordered).Seconds())
		} else if status.State != r.state {
			r.changed = append(r.changed, status.State)
		}
	}
}

// inContact reports whether the daemons were in contact with each other, the store and the engines
// between two times. Daemons that end and start again are.
func (s *site) inContact(from, until time.Time) bool {
	for _, t := range s.troubles {
		if t.kind != "SIGKILL" && !t.until.Add(contact).Before(from) && !t.from.After(until) {
			return false
		}
	}
	for _, c := range s.cuts {
		if !c.until.Add(contact).Before(from) && !c.from.After(until) {
			return false
		}
	}
	return true
}

// checkRollout returns the broken rules of a roll-out.
func (s *site) checkRollout() (broken []string) {
	r := s.rollout
	if r == nil || r.ordered.Load() == nil {
		return nil
	}
	ordered := *r.ordered.Load()
	limit := ordered.Add(rolloutLimit)
	sent := make(map[string]time.Time) // by request id
	for _, a := range s.record.attempts {
		sent[a.id] = a.sent
	}
	got, all, late, wrong := 0, 0, 0, 0
	fiftieth := r.fiftieth.Load()
	for id := range s.ledger.runs {
		for _, run := range s.ledger.of(id) {
			isNew, isCall := r.engines[run.engine], s.serviceOf(run.engine) == callService
			if !isCall || run.began.Before(ordered) {
				continue
			}
			if run.began.Before(limit) {
				all++
				if isNew {
					got++
				}
			}
			at := sent[id]
			if isNew && fiftieth != nil && at.Sub(*fiftieth) > rollbackWithin && s.inContact(*fiftieth, at) {
				late++
			}
			if r.state != "" && at.Sub(r.finalAt) > stateApply && isNew != (r.state == "completed") && s.inContact(r.finalAt, at) {
				wrong++
			}
		}
	}
	s.t.Logf("roll-out of a version of which %.0f %% fail from %v on: %s after %v, %d of %d requests, %d failures, in contact: %t",
		100*r.failing, r.badFrom.Round(time.Millisecond), r.state, r.finalAt.Sub(ordered).Round(time.Millisecond), got, all, r.failed.Load(), s.inContact(ordered, limit))
	if r.bad && float64(got) > rolloutSlack+rolloutShare*float64(all) {
		broken = append(broken, fmt.Sprintf("SHARE: the bad version got %d of %d requests", got, all))
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("ROLLBACK: the bad version got %d requests that were sent later than %v after its 50th bad response", late, rollbackWithin))
	}
	if wrong > 0 {
		broken = append(broken, fmt.Sprintf("VERSION: %d requests went to a version that is not allowed after %s", wrong, r.state))
	}
	if len(r.changed) > 0 {
		broken = append(broken, fmt.Sprintf("FINAL: after %s, the states %v were stored", r.state, r.changed))
	}
	want := map[bool]string{false: "completed", true: "rolled_back"}[r.bad]
	if s.inContact(ordered, limit) && (r.state != want || r.finalAt.After(limit.Add(rolloutPoll))) {
		broken = append(broken, fmt.Sprintf("STATE: %q, %v after the order; %s is due within %v", r.state, r.finalAt.Sub(ordered), want, rolloutLimit))
	}
	return broken
}

func (s *site) serviceOf(engine string) string {
	for _, e := range s.engines {
		if e.id == engine {
			return e.service
		}
	}
	return ""
}

// TestSoakRollouts guards against a bad version that gets more than its share, or requests after it
// was found, and against roll-outs that end in the wrong state, while daemons are stopped, killed and
// get other settings.
func TestSoakRollouts(t *testing.T) {
	soak(t, options{planned: plannedFaults, unplanned: []fault{kill}, rollsOut: func(uint64) bool { return true }, also: []uint64{2}})
}
