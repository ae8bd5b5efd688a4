package configuration

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice is the name of this package's slice in traces.
const TraceSlice = "configuration"

// Timing and limits of fetches.
const (
	// TickPeriod is the interval between two SpreadTick inputs.
	TickPeriod = 250 * time.Millisecond
	// platformRetryPause and platformRetryPauseMax are the first and the maximum
	// pause before a read of the platform when no peer provided the version.
	platformRetryPause    = 500 * time.Millisecond
	platformRetryPauseMax = 8 * time.Second
	// maxSources is the maximum number of peers recorded as having the newest
	// version.
	maxSources = 4
)

// SpreadInput is an event that a Spread handles.
type SpreadInput interface{ spreadInput() }

// Told reports that a peer has a version, or that the platform has it if Peer is
// empty.
type Told struct {
	Version int64
	Peer    string // peer address
}

// Arrived reports that a version has become active on this daemon. Root reports
// whether the version was read from the platform or written by this daemon, rather
// than received from a peer.
type Arrived struct {
	Version int64
	Root    bool
}

// FetchEnded reports that the fetch in progress ended without a newer version.
type FetchEnded struct{}

// SpreadTick is the timer event that arrives once per TickPeriod.
type SpreadTick struct{}

func (Told) spreadInput()       {}
func (Arrived) spreadInput()    {}
func (FetchEnded) spreadInput() {}
func (SpreadTick) spreadInput() {}

// SpreadDecision is an action that a Spread requests.
type SpreadDecision interface{ spreadDecision() }

// Fetch requests fetching the newest version from a peer, or from the platform if
// Peer is empty. The result is reported as Arrived or FetchEnded.
type Fetch struct{ Peer string }

// Relay requests a broadcast of the active version to all daemons.
type Relay struct{ Version int64 }

func (Fetch) spreadDecision() {}
func (Relay) spreadDecision() {}

// SpreadMade holds the constructor arguments of a Spread, as recorded in traces.
type SpreadMade struct{ Seed uint64 }

// Spread is the state machine that distributes configuration versions. It decides
// from where this daemon fetches newer versions and when it broadcasts one. It does
// no I/O and reads no clock. It is not safe for concurrent use.
type Spread struct {
	random        *rand.Rand
	activeVersion int64
	newestKnown   int64    // newest version that a peer or the platform has reported
	lastRelayed   int64    // newest version that this daemon has broadcast
	sources       []string // peers that have newestKnown, most recently reported first
	fetching      bool
	retryAt       time.Time     // earliest time of the next read of the platform; zero before the first pause
	retryPause    time.Duration // length of the next pause, before jitter
}

// NewSpread returns the Spread of a daemon that has no configuration yet.
func NewSpread(m SpreadMade) *Spread {
	return &Spread{random: rand.New(rand.NewPCG(m.Seed, 1)), retryPause: platformRetryPause}
}

// Step handles one input and returns the resulting decisions.
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
	if t.Version <= s.activeVersion || t.Version < s.newestKnown {
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
	s.activeVersion = max(s.activeVersion, a.Version)
	if s.activeVersion >= s.newestKnown {
		s.sources, s.retryPause, s.retryAt = nil, platformRetryPause, time.Time{}
	}
	out := s.fetch(now)
	if a.Root && a.Version > s.lastRelayed && a.Version == s.activeVersion {
		s.lastRelayed = a.Version
		out = append(out, Relay{a.Version})
	}
	return out
}

// fetch starts a fetch if a newer version is known and no fetch is in progress. It
// tries the peers that reported the version, one after another, and then the
// platform with exponential backoff.
func (s *Spread) fetch(now time.Time) []SpreadDecision {
	if s.fetching || s.newestKnown <= s.activeVersion {
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
		// Pause before the first read too: a peer may still report the version, and
		// the jitter keeps the daemons from reading the platform at the same time.
		return nil
	}
	s.fetching = true
	return []SpreadDecision{Fetch{}}
}

// NewReplay returns a machine that replays the trace of a Spread. made holds the
// JSON-encoded constructor arguments, a SpreadMade.
func NewReplay(made json.RawMessage) (trace.Machine, error) {
	var m SpreadMade
	if err := json.Unmarshal(made, &m); err != nil {
		return nil, errors.Wrap(err, "decode constructor arguments of the configuration spread")
	}
	return trace.NewStepper(spreadInputs, NewSpread(m).Step), nil
}

var spreadInputs = trace.NewInputTypes[SpreadInput](Told{}, Arrived{}, FetchEnded{}, SpreadTick{})
