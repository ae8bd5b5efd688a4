package fleet

import "time"

// Durations of suspicion and avoidance.
const (
	// SuspectDuration is how long a target that stopped responding or broke its
	// connections gets no new work, unless it answers earlier. Restarts take about a
	// second.
	SuspectDuration = 1500 * time.Millisecond
	// avoidBase and avoidMax are the minimum and maximum backoff of a target that
	// refused a request or could not be reached, the time for which it gets no new
	// work. The backoff doubles with each consecutive refusal.
	avoidBase = 150 * time.Millisecond
	avoidMax  = 2 * time.Second
	// maxDoublings is the maximum number of times that avoidBase is doubled. After so
	// many, the backoff is avoidMax.
	maxDoublings = 4
	// avoidJitter is the fraction by which the backoff varies at random, so that
	// daemons don't return to a target at the same time.
	avoidJitter = 0.25
	// terminatedDuration is how long a target whose process terminated gets no new
	// work unless its entry changes. After that it is tried again, in case it restarted
	// under the same entry.
	terminatedDuration = 5 * time.Second
)

// terminated reports whether the target no longer runs at its address.
func (s *targetState) terminated(now time.Time) bool {
	return s.replaced || now.Before(s.terminatedUntil)
}

// Lost returns a channel that is closed once the target is declared failed: it is
// suspected, terminated, replaced or restarted. It is closed already for an unknown
// target.
func (f *Fleet) Lost(id string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		return s.lost
	}
	return closedChannel
}

// closedChannel is returned for an event that has already happened.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Suspect considers a target failed until it answers or SuspectDuration has passed. accepts
// reports whether it accepts connections, although it does not answer. Suspect returns false
// if the target was already suspected or is unknown.
func (f *Fleet) Suspect(now time.Time, id string, accepts bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil {
		return false
	}
	newlySuspected := !now.Before(s.suspectUntil)
	if newlySuspected {
		s.suspectedAt = now
	}
	s.suspectUntil, s.accepts, s.silentFor = now.Add(SuspectDuration), accepts, now.Sub(s.suspectedAt)
	s.markLost()
	return newlySuspected
}

// IsSilent reports whether a suspected target accepts connections, and no call of Suspect shows
// that it has been silent for limit or longer. Its process, or at least its VM, is up.
func (f *Fleet) IsSilent(now time.Time, id string, limit time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	return s.state(now) == Suspected && s.accepts && s.silentFor < limit
}

// ExtendSuspicion lets the suspicion of a target last for another SuspectDuration. It returns
// false if the target is not suspected.
func (f *Fleet) ExtendSuspicion(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s.state(now) != Suspected {
		return false
	}
	s.suspectUntil = now.Add(SuspectDuration)
	return true
}

// markLost closes the current lost and unusable channels and replaces them for the next
// failure.
func (s *targetState) markLost() {
	close(s.lost)
	s.lost = make(chan struct{})
	s.markUnusable()
}

// markUnusable closes the current unusable channel and replaces it.
func (s *targetState) markUnusable() {
	close(s.unusable)
	s.unusable = make(chan struct{})
}

// Unusable returns a channel that is closed once the target should get no new
// requests or copies: it is declared failed (see Lost), leaves, asks for a pause or is
// removed. It is closed already for a target that is unknown, leaving, paused or terminated.
func (f *Fleet) Unusable(now time.Time, id string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil && !s.isLeaving(now) && !now.Before(s.pausedUntil) && !s.terminated(now) {
		return s.unusable
	}
	return closedChannel
}

// MarkRefused records that a target refused a request or could not be reached. It
// gets no new work for a time that doubles with each consecutive refusal.
func (f *Fleet) MarkRefused(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil {
		return
	}
	backoff := min(avoidMax, avoidBase<<min(s.consecutiveRefusals, maxDoublings))
	s.consecutiveRefusals++
	jitter := 1 + avoidJitter*(2*f.random.Float64()-1)
	s.avoidUntil = now.Add(time.Duration(float64(backoff) * jitter))
}

// MarkAlive records that a target answered a probe and is no longer suspected. A
// target that refused requests is still avoided.
func (f *Fleet) MarkAlive(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		s.suspectUntil = time.Time{}
	}
}

// MarkAnswered records that a target answered a request: it is neither suspected nor
// avoided any more.
func (f *Fleet) MarkAnswered(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		s.suspectUntil, s.avoidUntil, s.consecutiveRefusals = time.Time{}, time.Time{}, 0
	}
}

// ForgetSuspicions ends the suspicion and avoidance of all targets, because their cause was
// not at the targets.
func (f *Fleet) ForgetSuspicions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.targets {
		s.suspectUntil, s.avoidUntil, s.consecutiveRefusals = time.Time{}, time.Time{}, 0
	}
}

// Sample returns at most limit random targets other than the one with an id, in other places
// than that one first. It leaves out targets that have terminated.
func (f *Fleet) Sample(now time.Time, id string, limit int) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var elsewhere, samePlace []Target
	except := f.targets[id]
	for _, s := range f.targets {
		switch {
		case s.ID == id || s.terminated(now):
		case except != nil && s.Place == except.Place:
			samePlace = append(samePlace, s.Target)
		default:
			elsewhere = append(elsewhere, s.Target)
		}
	}
	f.random.Shuffle(len(elsewhere), func(i, j int) { elsewhere[i], elsewhere[j] = elsewhere[j], elsewhere[i] })
	out := append(elsewhere, samePlace...)
	return out[:min(limit, len(out))]
}

// SamePlaceTargets returns the other targets of t's service in t's place that are
// neither suspected nor terminated: all that this daemon uses, and at most maxIdle
// random ones that it does not use and that are not avoided. A target that a peer
// suspects is avoided.
func (f *Fleet) SamePlaceTargets(now time.Time, t Target, maxIdle int) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var used, idle []Target
	for _, s := range f.services[t.Service] {
		switch {
		case s.ID == t.ID || s.Place != t.Place || s.terminated(now) || now.Before(s.suspectUntil):
		case s.running > 0 || s.memoryTokens > 0:
			used = append(used, s.Target)
		case !now.Before(s.avoidUntil):
			idle = append(idle, s.Target)
		}
	}
	f.random.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	return append(used, idle[:min(maxIdle, len(idle))]...)
}

// PlaceSize returns the number of registered targets of t's service in t's place.
func (f *Fleet) PlaceSize(t Target) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services[t.Service] {
		if s.Place == t.Place {
			n++
		}
	}
	return n
}

// State is the availability of a target for new work: Ready, or the reason why it gets
// none.
type State string

// States of a target.
const (
	Ready     State = "ready"
	Unknown   State = "unknown" // it has no entry, was replaced or has terminated
	Leaving   State = "leaving"
	Suspected State = "suspected"
	Avoided   State = "avoided" // it refused a request recently, asked for a pause, or a peer suspects it
)

// State returns the state of a target at a time.
func (f *Fleet) State(now time.Time, id string) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[id].state(now)
}

func (s *targetState) state(now time.Time) State {
	switch {
	case s == nil || s.terminated(now):
		return Unknown
	case s.isLeaving(now):
		return Leaving
	case now.Before(s.suspectUntil):
		return Suspected
	case now.Before(s.avoidUntil), now.Before(s.pausedUntil):
		return Avoided
	}
	return Ready
}

// ApplyPeerSuspicion handles a peer's report that a target may have failed. If this
// daemon uses the target, it returns the target and true, and the caller should probe
// it. Otherwise the target gets no new work for SuspectDuration.
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

// MarkTerminated records that this incarnation of a target has terminated, so that its
// address belongs to another incarnation, another target or no process. It returns
// false if that was already known, or if t is not the registered incarnation. The
// target is usable again once its entry changes, or after terminatedDuration.
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
