package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// maxPastSends bounds the outcomes of over epochs that one tick sends.
const maxPastSends = 64

// sweepPeriod is how often records that are too old are looked for.
const sweepPeriod = 500 * time.Millisecond

// handleTick sends again what was not answered and forgets what is too old.
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

// handleRepair begins the way to an epoch with another third, while the pair is whole.
func (r *Replica) handleRepair() []Decision {
	if !r.isFirst() || r.handedOver || r.alone || !r.sync.done || r.partner.silent || r.partner.retired {
		return nil
	}
	return []Decision{r.sendToPartner(Renew{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self})}
}

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

// resendPastOutcomes sends outcomes of epochs that are over. A true outcome is told to
// those who wait for it without an acknowledgment.
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

// expire forgets records after their retention. A key without a record is
// answered "unknown" before its record is forgotten anywhere.
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
