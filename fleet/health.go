package fleet

import "time"

// Timing of suspicion and avoidance.
const (
	// SuspectDuration is how long a target that fell silent or broke its connections
	// gets no new work unless it proves to be alive. Restarts take about a second.
	SuspectDuration = 1500 * time.Millisecond
	// avoidBase and avoidMax bound how long a target that refused or was not
	// reached is left alone; the time doubles with each refusal in a row.
	avoidBase = 150 * time.Millisecond
	avoidMax  = 2 * time.Second
	// maxDoublings ends the doubling; avoidMax is reached with it.
	maxDoublings = 4
	// avoidJitter is the part of the time by which it varies at random, so that
	// daemons don't come back to a target together.
	avoidJitter = 0.25
	// terminatedDuration is how long a target whose process has ended gets no new work unless
	// its entry changes. It is tried again then, in case it came back as it was.
	terminatedDuration = 5 * time.Second
)

// terminated tells whether nothing that runs at the target's address is this target.
func (s *targetState) terminated(now time.Time) bool {
	return s.replaced || now.Before(s.terminatedUntil)
}

// Lost returns a channel that is closed once the target is taken for dead.
func (f *Fleet) Lost(id string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		return s.lost
	}
	return closedChannel
}

// closedChannel is the channel of what has happened already.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Suspect takes a target for dead until it answers or some time has passed. It
// returns false if it already was.
func (f *Fleet) Suspect(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil {
		return false
	}
	fresh := !now.Before(s.suspectUntil)
	s.suspectUntil = now.Add(SuspectDuration)
	s.markLost()
	return fresh
}

func (s *targetState) markLost() {
	close(s.lost)
	s.lost = make(chan struct{})
	s.markUnusable()
}

func (s *targetState) markUnusable() {
	close(s.unusable)
	s.unusable = make(chan struct{})
}

// Unusable returns a channel that is closed once the target is not to be relied on
// for what comes: it is taken for dead, leaves, or is gone.
func (f *Fleet) Unusable(now time.Time, id string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil && !s.Leaving && !s.terminated(now) {
		return s.unusable
	}
	return closedChannel
}

// MarkRefused notes that a target turned a request away or was not reached; it is
// left alone for a while that doubles with each time in a row.
func (f *Fleet) MarkRefused(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil {
		return
	}
	wait := min(avoidMax, avoidBase<<min(s.consecutiveRefusals, maxDoublings))
	s.consecutiveRefusals++
	jitter := 1 + avoidJitter*(2*f.random.Float64()-1)
	s.avoidUntil = now.Add(time.Duration(float64(wait) * jitter))
}

// MarkAlive notes that a target answered a probe. One that refused work is left alone
// as before.
func (f *Fleet) MarkAlive(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		s.suspectUntil = time.Time{}
	}
}

// MarkAnswered notes that a target answered a request: it lives and takes work.
func (f *Fleet) MarkAnswered(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		s.suspectUntil, s.avoidUntil, s.consecutiveRefusals = time.Time{}, time.Time{}, 0
	}
}

// SamePlaceTargets returns the other targets of t's service in its place that are not taken
// for dead: those that run something for this daemon, and up to some of the rest that
// are not left alone, as those are that a peer doubts.
func (f *Fleet) SamePlaceTargets(now time.Time, t Target, some int) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out, idle []Target
	for _, s := range f.services[t.Service] {
		switch {
		case s.ID == t.ID || s.Place != t.Place || s.terminated(now) || now.Before(s.suspectUntil):
		case s.running > 0 || s.memoryTokens > 0:
			out = append(out, s.Target)
		case !now.Before(s.avoidUntil):
			idle = append(idle, s.Target)
		}
	}
	f.random.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	return append(out, idle[:min(some, len(idle))]...)
}

// State tells whether a target may get new work now, and if not, why.
type State string

// States of a target.
const (
	Ready     State = "ready"
	Unknown   State = "unknown" // it has no entry, or another holds its address
	Leaving   State = "leaving"
	Suspected State = "suspected"
	Avoided   State = "avoided" // it refused lately
)

// State returns whether a target may get new work now.
func (f *Fleet) State(now time.Time, id string) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[id].state(now)
}

func (s *targetState) state(now time.Time) State {
	switch {
	case s == nil || s.terminated(now):
		return Unknown
	case s.Leaving:
		return Leaving
	case now.Before(s.suspectUntil):
		return Suspected
	case now.Before(s.avoidUntil):
		return Avoided
	}
	return Ready
}

// ApplyPeerSuspicion takes a peer's word that a target seems dead. It gets no new work for a while;
// what runs there goes on. It returns the target if this daemon uses it, so that it
// finds out by itself.
func (f *Fleet) ApplyPeerSuspicion(now time.Time, id string) (t Target, used bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil || s.terminated(now) || now.Before(s.suspectUntil) {
		return Target{}, false
	}
	if s.running > 0 || s.memoryTokens > 0 {
		return s.Target, true
	}
	if until := now.Add(SuspectDuration); s.avoidUntil.Before(until) {
		s.avoidUntil = until
	}
	return Target{}, false
}

// MarkTerminated notes that this run of a target has ended, and that another one, another
// target, or nobody holds its address. It returns whether that is news. The target is
// usable again once its entry changes, or after a while.
func (f *Fleet) MarkTerminated(now time.Time, t Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[t.ID]
	if s == nil || s.StartMillis != t.StartMillis || s.terminated(now) {
		return false
	}
	s.terminatedUntil = now.Add(terminatedDuration)
	s.markLost()
	return true
}
