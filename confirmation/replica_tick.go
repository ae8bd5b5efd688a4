package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// maxPastSends limits the outcomes of past epochs that one tick sends.
const maxPastSends = 64

// sweepPeriod is the interval between searches for expired records.
const sweepPeriod = 500 * time.Millisecond

// handleTick resends messages that were not answered and removes expired
// records.
func (r *Replica) handleTick(now time.Time) []Decision {
	r.expire(now)
	var out []Decision
	if r.isFirst() {
		out = append(out, r.resend(now)...)
		if !r.sync.done && !r.alone && now.Sub(r.sync.lastSent) >= r.limits.Resend {
			out = append(out, r.sendSyncPart(now))
		}
	}
	out = append(out, r.resendPastOutcomes(now)...)
	out = append(out, r.claim(now)...)
	out = append(out, r.advanceHandOver()...)
	return append(out, r.proposeEpoch(now)...)
}

// handleRepair starts the change to an epoch with another third daemon. It does
// nothing unless both daemons of the pair are available.
func (r *Replica) handleRepair() []Decision {
	if !r.isFirst() || r.handedOver || r.alone || !r.sync.done || r.partner.silent || r.partner.retired {
		return nil
	}
	return []Decision{r.sendToPartner(Renew{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self})}
}

// resend sends unanswered intents and copies again. After CopyWait, an outcome
// other than NotRun is reported to waiting callers without an acknowledgment.
func (r *Replica) resend(now time.Time) []Decision {
	var out []Decision
	for _, key := range r.inFlightKeys() {
		e := r.entries[key]
		if e.phase == phaseCopying && e.record.Outcome != failure.NotRun && now.Sub(e.outcomeTime) >= r.limits.CopyWait {
			out = append(out, e.answerWaiters(Answer{Record: withKey(e.record, key)})...)
		}
		if now.Sub(e.lastSent) < r.limits.Resend {
			continue
		}
		switch e.phase {
		case phaseIntentSent:
			e.lastSent = now
			out = append(out, r.sendToPartner(r.intentMessage(key, e)))
		case phaseCopying:
			e.lastSent = now
			out = append(out, r.sendToPartner(r.copyMessage(key, e)))
		}
	}
	return out
}

// resendPastOutcomes sends outcomes of past epochs. After CopyWait, an outcome
// other than NotRun is reported to waiting callers without an acknowledgment.
func (r *Replica) resendPastOutcomes(now time.Time) []Decision {
	var out []Decision
	sends := 0
	for _, key := range sortedKeys(r.pastEntries) {
		e := r.pastEntries[key]
		if e.phase != phaseCopying || now.Sub(e.lastSent) < r.limits.Resend {
			continue
		}
		if e.record.Outcome != failure.NotRun && now.Sub(e.outcomeTime) >= r.limits.CopyWait {
			out = append(out, e.answerWaiters(Answer{Record: withKey(e.record, key)})...)
		}
		if sends++; sends > maxPastSends {
			break
		}
		e.lastSent = now
		out = append(out, r.sendPastOutcome(key, e)...)
	}
	return out
}

// expire removes records that are older than Retention plus Skew. Every daemon
// answers "unknown" for a key without a record from Retention minus Skew on, so
// that a key whose record was removed cannot run again.
func (r *Replica) expire(now time.Time) {
	if now.Sub(r.lastSweep) < sweepPeriod {
		return
	}
	r.lastSweep = now
	for _, m := range []map[string]*entry{r.entries, r.pastEntries} {
		for key, e := range m {
			if e.phase != phaseDispatched && now.Sub(e.issued) > r.limits.Retention+r.limits.Skew {
				delete(m, key)
			}
		}
	}
}
