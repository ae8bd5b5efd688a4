package forward

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// planAttempt plans the next attempt. It picks the target that holds a copy of the
// run's KV cache if that target is ready, otherwise the target that is expected to
// start soonest. It returns false if no attempt is possible.
func (s *stream) planAttempt(ctx context.Context) (Attempt, bool) {
	if s.succession.returnFirst {
		s.succession.returnFirst = false
		if a, ok := s.planReturn(ctx); ok {
			return a, true
		}
	}
	if !s.request.attemptsLeft(len(s.tried)) {
		s.noAttempt = errAttemptsUsedUp.Error()
		return s.planReturn(ctx)
	}
	if s.notSent > s.request.maxAttempts() {
		s.noAttempt = "too many targets can't be reached"
		return s.planReturn(ctx)
	}
	if len(s.succession.silent) == 0 {
		s.awaitTarget(ctx)
	}
	if s.noAttempt != "" && !s.canPlace(time.Now()) {
		return s.planReturn(ctx)
	}
	var promptHolders map[string]bool
	// A slot that is held is in the load that other daemons know of.
	if slot := s.succession.slot; !s.resumesFromCopy(time.Now()) && (slot == nil || slot.reservation == "" && !s.isStopping()) {
		if err := s.forwarder.PlacementLimiter.Wait(ctx); err != nil {
			s.lastErr = contextError(ctx, failure.NotRun, "route", s.request.Service)
			s.noAttempt = s.lastErr.Error()
			return s.planReturn(ctx) // which is no placement
		}
		promptHolders = s.promptHolders(ctx)
	}
	// The last step that may take time, so that the target is picked by the latest state.
	s.waitFor(pauseForCredit)
	allowed, refusal := s.forwarder.allowAttempt(ctx, retry{s.request, s.succession.begun}, len(s.tried), take(&s.succession.retryReserved))
	s.waitFor(pauseForTarget)
	if refusal != nil {
		s.lastErr, s.succession.silent = refusal, nil
	}
	if !allowed {
		s.noAttempt = errBudgetExhausted.Error()
		if refusal != nil {
			s.noAttempt = refusal.Error()
		}
		return Attempt{}, false
	}
	paidAt, isRetry := time.Now(), len(s.tried) > 0
	now := paidAt
	a := Attempt{Request: s.request, LastEventID: s.formatLastEventID(), ObjectiveMissed: s.objectiveMissed(now), Priority: s.targetPriority(now), Cause: s.promptCause()}
	mayGetAttempt := func(t fleet.Target) bool {
		return s.forwarder.takeCredit(now, s.request.Service, t.SoftwareVersion, &s.succession) && s.forwarder.takePermit(ctx, s.request.ID, t, s.targetCriteria(nil))
	}
	if s.resumesFromCopy(now) && mayGetAttempt(s.standby.holder) {
		a.Target, a.Resume, a.Cause = s.standby.holder, s.standby.copy, string(s.standby.origin)
	} else if slot := s.succession.slot; slot != nil && s.forwarder.isUsable(now, slot.target) && mayGetAttempt(slot.target) {
		a.Target = slot.target
	} else {
		t, err := s.pickTarget(ctx, promptHolders)
		if err != nil {
			if s.lastErr == nil {
				s.lastErr = s.forwarder.noTargetError(s.request, err)
			}
			s.noAttempt = err.Error()
			s.succession.keepRetry(time.Now(), len(s.tried))
			return s.planReturn(ctx)
		}
		a.Target = t
	}
	if isRetry && !s.forwarder.RetryBudget.renew(ctx, paidAt, retry{s.request, s.succession.begun}) {
		s.forwarder.releasePermit(s.request.ID, a.Target, false)
		s.forwarder.recordDenial(retry{s.request, s.succession.begun}, 1)
		s.noAttempt = errBudgetExhausted.Error()
		return Attempt{}, false
	}
	if a.Resume == (Copy{}) && s.standby != nil {
		s.noCopy = s.whyNotResumed(now)
	}
	s.standby, a.Reservation = nil, s.succession.takeReservation(a.Target)
	if c, ok := s.pickCopyTarget(now, a.Target, nil, copyMemory, false); ok {
		a.CopyTo = &c
	}
	return a, true
}

// promptCause returns the cause of an attempt that begins with the prompt.
func (s *stream) promptCause() string {
	switch {
	case len(s.tried) > 0:
		return "prompt"
	case s.request.LastEventID != "":
		return "taken up by the caller"
	}
	return "first"
}

// Limits of the wait for a target of a stream that has begun.
const (
	// maxTargetWait covers a suspicion. A caller can't get the stream anywhere else: it is
	// bound to the targets of its software version, which may be few.
	maxTargetWait      = fleet.SuspectDuration + 100*time.Millisecond
	targetPollInterval = 20 * time.Millisecond
)

// awaitTarget waits while a stream that has begun has no target which is ready, and one
// that may be soon.
func (s *stream) awaitTarget(ctx context.Context) {
	if s.version == nil || s.standbyReady(time.Now()) {
		return
	}
	for end := time.Now().Add(maxTargetWait); time.Now().Before(end); {
		now, criteria := time.Now(), s.targetCriteria(nil)
		if _, err := s.forwarder.Fleet.Pick(now, criteria); err == nil || !s.forwarder.Fleet.MayRecover(now, criteria) || !pause.For(ctx, targetPollInterval) {
			return
		}
	}
}

// pickTarget picks a target and takes a permit to send the stream to it. A stream that has
// begun waits for a permit, or a credit for a version under roll-out.
func (s *stream) pickTarget(ctx context.Context, promptHolders map[string]bool) (fleet.Target, error) {
	for end := time.Now().Add(maxTargetWait); ; {
		criteria := s.targetCriteria(promptHolders)
		t, err := s.forwarder.pick(ctx, s.request.ID, criteria, &s.succession)
		if err != nil && criteria.NeedsRoom && s.needsRoomFirst {
			s.needsRoomFirst = false // what had room is full meanwhile
			continue
		}
		now, mayWait := time.Now(), s.version != nil && len(s.succession.silent) == 0
		if err == nil || !mayWait || !now.Before(end) || !errors.Is(err, errNoCredit) && !s.forwarder.Fleet.MayRecover(now, criteria) || !pause.For(ctx, targetPollInterval) {
			return t, err
		}
	}
}

// priority returns the priority of the next attempt.
func (s *stream) priority() int {
	if s.version != nil {
		return resumePriority
	}
	return s.forwarder.priority(s.request)
}

// canPlace reports whether a target is ready for a stream that waits, and reserves the
// retry budget for it if so. Streams that wait use up no placements.
func (s *stream) canPlace(now time.Time) bool {
	if _, err := s.forwarder.pickTarget(now, s.targetCriteria(nil), &s.succession); err != nil {
		return false
	}
	if s.succession.retryReserved.IsZero() && s.forwarder.RetryBudget.allow(now, retry{s.request, s.succession.begun}, 1) {
		s.succession.retryReserved = now
	}
	return !s.succession.retryReserved.IsZero()
}

// planReturn plans an attempt at a target that the stream was taken from.
func (s *stream) planReturn(ctx context.Context) (Attempt, bool) {
	t, ok, refusal := s.forwarder.planReturn(ctx, s.request, &s.succession, s.allowsVersion)
	now := time.Now()
	if refusal != nil {
		s.lastErr = refusal
	}
	a := Attempt{Request: s.request, Target: t, LastEventID: s.formatLastEventID(), ObjectiveMissed: s.objectiveMissed(now), Priority: s.targetPriority(now), Cause: "return", Reservation: s.succession.takeReservation(t)}
	if !ok {
		return a, false
	}
	if c, found := s.pickCopyTarget(now, t, nil, copyMemory, false); found {
		a.CopyTo = &c
	}
	return a, true
}

// targetCriteria returns what the next attempt needs of its target.
func (s *stream) targetCriteria(promptHolders map[string]bool) fleet.Criteria {
	return fleet.Criteria{
		SoftwareVersion: s.version, PromptHolders: promptHolders, Priority: s.priority(),
		NeedsRoom: s.needsRoom(time.Now()) || s.needsRoomFirst && len(s.tried) == 0, VersionFilter: s.forwarder.allowedVersions(time.Now(), s.request.Service),
		Service: s.request.Service, Exclude: s.tried, Affinity: s.request.Prompt.CacheKey, AvoidPlaces: s.lostPlaces,
		MemoryTokens: max(1, s.memoryTokens()), CapacityTokens: s.capacityTokens(),
	}
}

// standbyReady reports whether the next attempt can resume from a standby copy.
func (s *stream) standbyReady(now time.Time) bool {
	return s.standby != nil && s.allowsVersion(s.standby.holder) && s.forwarder.isUsable(now, s.standby.holder) && !s.tried[s.standby.holder.ID]
}

// resumesFromCopy reports whether the next attempt resumes from a standby copy, as its holder
// has room, or none is needed.
func (s *stream) resumesFromCopy(now time.Time) bool {
	slot := s.succession.slot
	return s.standbyReady(now) && (slot == nil || slot.target.ID == s.standby.holder.ID)
}

// allowsVersion reports whether the stream may continue at a target: at any before its
// first event, later at those of the software version that began it.
func (s *stream) allowsVersion(t fleet.Target) bool {
	return s.version == nil || *s.version == t.SoftwareVersion
}

// objectiveMissed reports whether the answer can no longer meet the objectives of its
// route: the caller resumes an interrupted answer, the time since the last event exceeds
// Route.MaxEventGap, or the first event would come after Route.LatencyObjective.
func (s *stream) objectiveMissed(now time.Time) bool {
	route := s.request.Route
	switch {
	case s.request.LastEventID != "":
		return true
	case !s.lastEventAt.IsZero():
		return route.MaxEventGap > 0 && now.Sub(s.lastEventAt) > route.MaxEventGap
	}
	return route.LatencyObjective > 0 && now.Sub(s.request.Received) > route.LatencyObjective
}

func (s *stream) formatLastEventID() string {
	if s.lastEventID < 0 {
		return ""
	}
	return strconv.FormatInt(s.lastEventID, 10)
}

// promptHolders returns the ids of the targets that hold the prompt of a caller who
// resumes an answer. It returns nil for other callers and after the first attempt.
func (s *stream) promptHolders(ctx context.Context) map[string]bool {
	if s.request.LastEventID == "" || s.request.Prompt.CacheKey == "" || len(s.tried) > 0 {
		return nil
	}
	return s.forwarder.CacheLocator.Find(ctx, s.forwarder.Fleet.RankByHash(time.Now(), s.request.Service, s.request.Prompt.CacheKey, maxCacheQueries), s.request.Prompt.CacheKey)
}

// pickMoveTarget picks the target that the run on t is moved to: with room, or the one at which
// a slot is held. The holder of the standby copy needs no move, and may lack the memory for both.
func (s *stream) pickMoveTarget(now time.Time, t fleet.Target, standby *standbyCopy, failed map[string]bool) (fleet.Target, bool) {
	slot := s.succession.slot
	destination, ok := s.pickCopyTarget(now, t, failed, 0, slot != nil)
	if slot == nil || standby != nil && slot.target.ID == standby.holder.ID || failed[slot.target.ID] {
		return destination, ok
	}
	return slot.target, s.request.Route.Repeatable()
}

// copiesRuns reports whether targets of the service copy the KV cache of their runs.
func (s *stream) copiesRuns() bool {
	m := s.forwarder.Model(s.request.Service)
	return m != nil && m.StandbyCopies
}

// copyRetention returns how long targets of the service keep a copy, 0 if that is not known.
func (s *stream) copyRetention() time.Duration {
	if m := s.forwarder.Model(s.request.Service); m != nil {
		return m.CopyRetention
	}
	return 0
}

// copyMemory is the memory that the holder of a standby copy needs, in runs: for the copy, and for
// the next run. Copies don't yield to runs, which would wait, or be preempted, for want of memory.
const copyMemory = 2

// pickCopyTarget picks the target for a copy of the KV cache of the run on t, of the same
// software version, except for the targets in failed. It prefers another place, so that the
// loss of a place leaves either the run or its copy; of the places that lost the run before, it
// prefers the one where that is longest ago. The target has room for so many runs like
// this one in its memory; none is needed if memory is 0.
func (s *stream) pickCopyTarget(now time.Time, t fleet.Target, failed map[string]bool, memory int, needsRoom bool) (fleet.Target, bool) {
	if !s.request.Route.Repeatable() || !s.copiesRuns() {
		return fleet.Target{}, false
	}
	if memory > 0 && s.forwarder.Admission.holds(s.request.Service) {
		return fleet.Target{}, false // new streams wait for that memory
	}
	exclude := map[string]bool{t.ID: true}
	maps.Copy(exclude, s.tried)
	maps.Copy(exclude, failed)
	c, err := s.forwarder.Fleet.Pick(now, fleet.Criteria{
		SoftwareVersion: &t.SoftwareVersion, VersionFilter: s.forwarder.allowedVersions(now, s.request.Service), Service: s.request.Service, Exclude: exclude, AvoidPlaces: append(slices.Clone(s.lostPlaces), t.Place),
		MemoryTokens: max(1, memory) * s.memoryTokens(), CapacityTokens: s.capacityTokens(), ForCopy: true, NeedsRoom: needsRoom, NeedsMemory: memory > 0,
	})
	return c, err == nil
}
