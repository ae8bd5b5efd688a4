package configuration

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// Slice is the name of this slice in traces.
const Slice = "configuration"

// Timing of fetches.
const (
	// TickPeriod is the time between two ticks of a Spread.
	TickPeriod = 250 * time.Millisecond
	// platformRetryPause and fetchPauseMax bound the pause between reads of the
	// platform when no peer had the version.
	platformRetryPause    = 500 * time.Millisecond
	platformRetryPauseMax = 8 * time.Second
	// maxSources bounds the peers remembered as having a version.
	maxSources = 4
)

// SpreadInput is one thing a Spread is told.
type SpreadInput interface{ spreadInput() }

// Told tells that a peer, or the platform if Peer is empty, has a version.
type Told struct {
	Version int64
	Peer    string // address
}

// Arrived tells that a version is in force on this daemon. Root tells that it
// came from the platform or was written here, not from a peer.
type Arrived struct {
	Version int64
	Root    bool
}

// FetchEnded tells that the fetch under way ended without a newer version.
type FetchEnded struct{}

// SpreadTick tells that time passed.
type SpreadTick struct{}

func (Told) spreadInput()       {}
func (Arrived) spreadInput()    {}
func (FetchEnded) spreadInput() {}
func (SpreadTick) spreadInput() {}

// SpreadDecision is one thing a Spread wants done.
type SpreadDecision interface{ spreadDecision() }

// Fetch asks to get the newest version from a peer, or from the platform if
// Peer is empty, and to report Arrived or FetchEnded.
type Fetch struct{ Peer string }

// Relay asks to push the version in force to all daemons.
type Relay struct{ Version int64 }

func (Fetch) spreadDecision() {}
func (Relay) spreadDecision() {}

// SpreadMade is how a Spread is made.
type SpreadMade struct{ Seed uint64 }

// Spread decides where this daemon gets newer versions from and when it pushes
// one. It is pure and not safe for concurrent use.
type Spread struct {
	random      *rand.Rand
	inForce     int64
	newestKnown int64
	lastRelayed int64
	sources     []string // peers that have wanted, newest first
	fetching    bool
	retryAt     time.Time
	retryPause  time.Duration
}

// NewSpread returns a spread of a daemon without configuration.
func NewSpread(m SpreadMade) *Spread {
	return &Spread{random: rand.New(rand.NewPCG(m.Seed, 1)), retryPause: platformRetryPause}
}

// Step takes one input and returns what is to be done.
func (s *Spread) Step(now time.Time, in SpreadInput) []SpreadDecision {
	switch in := in.(type) {
	case Told:
		s.handleTold(in)
	case Arrived:
		return s.handleArrived(now, in)
	case FetchEnded:
		s.fetching = false
	}
	return s.fetch(now)
}

func (s *Spread) handleTold(t Told) {
	if t.Version <= s.inForce || t.Version < s.newestKnown {
		return
	}
	if t.Version > s.newestKnown {
		s.newestKnown, s.sources = t.Version, nil
		s.retryPause, s.retryAt = platformRetryPause, time.Time{}
	}
	if t.Peer == "" || len(s.sources) == maxSources {
		return
	}
	for _, source := range s.sources {
		if source == t.Peer {
			return
		}
	}
	s.sources = append([]string{t.Peer}, s.sources...)
}

func (s *Spread) handleArrived(now time.Time, a Arrived) []SpreadDecision {
	s.fetching = false
	s.inForce = max(s.inForce, a.Version)
	if s.inForce >= s.newestKnown {
		s.sources, s.retryPause, s.retryAt = nil, platformRetryPause, time.Time{}
	}
	out := s.fetch(now)
	if a.Root && a.Version > s.lastRelayed && a.Version == s.inForce {
		s.lastRelayed = a.Version
		out = append(out, Relay{a.Version})
	}
	return out
}

// fetch starts a fetch if a newer version is known and none is under way: from
// the peers that told of it, then from the platform with growing pauses.
func (s *Spread) fetch(now time.Time) []SpreadDecision {
	if s.fetching || s.newestKnown <= s.inForce {
		return nil
	}
	if len(s.sources) > 0 {
		peer := s.sources[0]
		s.sources = s.sources[1:]
		s.fetching = true
		return []SpreadDecision{Fetch{peer}}
	}
	if now.Before(s.retryAt) {
		return nil
	}
	wait := s.retryPause/2 + time.Duration(s.random.Int64N(int64(s.retryPause)))
	s.retryPause = min(2*s.retryPause, platformRetryPauseMax)
	firstRetry := s.retryAt.IsZero()
	s.retryAt = now.Add(wait)
	if firstRetry {
		return nil // a peer may still tell; daemons don't ask in step
	}
	s.fetching = true
	return []SpreadDecision{Fetch{}}
}

// NewReplay makes a spread that replays a trace.
func NewReplay(made json.RawMessage) (trace.Machine, error) {
	var m SpreadMade
	if err := json.Unmarshal(made, &m); err != nil {
		return nil, errors.Wrap(err, "decode how the spread was made")
	}
	return trace.NewStepper(spreadInputs, NewSpread(m).Step), nil
}

var spreadInputs = trace.NewInputTypes[SpreadInput](Told{}, Arrived{}, FetchEnded{}, SpreadTick{})
