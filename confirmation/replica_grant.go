package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// handleReach records whether the partner answers, and claims the grant if it
// does not. If this daemon is the first and gets no grant within GrantWait,
// callers that wait for the second daemon get an unknown outcome that may still
// change.
func (r *Replica) handleReach(now time.Time, in Reach) []Decision {
	if !r.shard.inPair(r.self) || !r.shard.partner(r.self).SameRun(in.Peer) {
		return nil
	}
	r.partner.silent = in.Silent || r.partner.lost
	if !r.partner.silent {
		r.firstUnreachable, r.claimedAt = false, time.Time{}
		return nil
	}
	out := r.claim(now)
	if r.isFirst() && !r.alone && now.Sub(r.claimedAt) >= r.limits.GrantWait {
		out = append(out, r.answerUnacknowledged()...)
	}
	return out
}

// answerUnacknowledged answers the callers of keys whose intent is not
// acknowledged.
func (r *Replica) answerUnacknowledged() []Decision {
	var out []Decision
	for _, key := range r.inFlightKeys() {
		if e := r.entries[key]; e.phase == phaseIntentSent {
			out = append(out, e.answerWaiters(Answer{Record: r.unknownRetryable(key)})...)
		}
	}
	return out
}

// handleLost records that an incarnation of another daemon has certainly ended.
func (r *Replica) handleLost(now time.Time, peer Ref) []Decision {
	for _, e := range r.entries {
		e.holderEnded = e.holderEnded || e.phase == phaseRecorded && e.holder.SameRun(peer)
	}
	if !r.shard.inPair(r.self) || !r.shard.partner(r.self).SameRun(peer) || r.partner.lost {
		return nil
	}
	r.partner.lost = true
	return r.handleReach(now, Reach{Peer: peer, Silent: true})
}

// claim requests the third daemon's grant to continue without the partner, if
// this daemon may claim it. A first daemon whose second has promised never to
// take over needs no grant.
func (r *Replica) claim(now time.Time) []Decision {
	if !r.mayClaim() {
		return nil
	}
	if r.claimedAt.IsZero() {
		r.claimedAt = now
	}
	if r.isFirst() && r.partner.retired {
		return r.continueAlone(now)
	}
	if r.shard.Third.ID == "" {
		return nil
	}
	return []Decision{Send{r.shard.Third, Claim{Shard: r.shard, From: r.self}}}
}

func (r *Replica) mayClaim() bool {
	if !r.partner.silent || r.grantDenied {
		return false
	}
	if r.isFirst() {
		return !r.alone && !r.handedOver
	}
	return r.isSecond() && !r.sealed && !r.retired && (r.firstUnreachable || r.partner.lost)
}

// handleClaim handles a claim of the grant as the third daemon of the shard. The
// daemon whose claim arrives first in an epoch gets the grant. The answer to
// every claim names the daemon that has it.
func (r *Replica) handleClaim(now time.Time, in Claim) []Decision {
	out := r.handleAssigned(now, in.Shard)
	if in.Shard.Epoch < r.shard.Epoch {
		return append(out, Send{in.From, Sealed{Shard: r.shard, Epoch: in.Shard.Epoch, From: r.self}})
	}
	if !r.shard.Third.SameRun(r.self) || !r.shard.inPair(in.From) {
		return out
	}
	if r.grantee.ID == "" {
		r.grantee = in.From
	}
	return append(out, Send{in.From, Granted{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self, Holder: r.grantee}})
}

// handleGranted applies the third daemon's decision on which daemon of the pair
// continues alone in this epoch.
func (r *Replica) handleGranted(now time.Time, in Granted) []Decision {
	if in.Epoch != r.shard.Epoch || !r.shard.Third.SameRun(in.From) || !r.shard.inPair(r.self) {
		return nil
	}
	switch {
	case !in.Holder.SameRun(r.self):
		r.grantDenied = true
		if r.isFirst() && !r.alone {
			return r.stepDown()
		}
	case r.isFirst() && !r.handedOver && !r.alone:
		return r.continueAlone(now)
	case r.isSecond() && !r.sealed && !r.retired:
		return r.seal()
	}
	return nil
}

// continueAlone makes the first daemon continue without the second. It
// dispatches the keys whose intent is not acknowledged, or records them as not
// run if their deadline has passed. It completes the outcomes whose copy is not
// acknowledged.
func (r *Replica) continueAlone(now time.Time) []Decision {
	r.alone = true
	var out []Decision
	for _, key := range r.inFlightKeys() {
		e := r.entries[key]
		switch {
		case e.phase == phaseIntentSent && now.After(e.deadline):
			e.acked = true
			out = append(out, r.recordOutcome(now, key, e, Record{Outcome: failure.NotRun})...)
		case e.phase == phaseIntentSent:
			e.acked = true
			out = append(out, e.dispatch()...)
		case e.phase == phaseCopying:
			e.phase = phaseDone
			out = append(out, e.answerWaiters(Answer{Record: withKey(e.record, key)})...)
		}
	}
	return append(out, r.proposeEpoch(now)...)
}

// seal takes over from the first daemon. This daemon records no more intents of
// this epoch, so the first can dispatch no key that is not on record here.
func (r *Replica) seal() []Decision {
	r.sealed = true
	return r.proposeEpoch(time.Time{})
}

// handleRenew promises the first daemon never to take over in this epoch.
func (r *Replica) handleRenew(in Renew) []Decision {
	if !r.isSecond() || in.Epoch != r.shard.Epoch || !r.shard.First.SameRun(in.From) || r.sealed {
		return nil
	}
	r.retired = true
	return []Decision{r.sendToPartner(Retire{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self})}
}
