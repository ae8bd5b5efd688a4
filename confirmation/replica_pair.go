package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// handleIntent records that the first daemon will dispatch a key, unless this
// daemon has taken over or the epoch has ended.
func (r *Replica) handleIntent(in Intent) []Decision {
	if in.Epoch > r.shard.Epoch || r.shard.Epoch == 0 {
		return nil
	}
	current := in.Epoch == r.shard.Epoch && r.isSecond() && r.shard.First.SameRun(in.From)
	if !current || r.sealed {
		return []Decision{Send{in.From, Sealed{Shard: r.shard, Epoch: in.Epoch, From: r.self}}}
	}
	e := r.entries[in.Key]
	if e == nil {
		e = &entry{phase: phaseRecorded, digest: in.Digest, holder: in.From, issued: issueTime(in.Key)}
		r.entries[in.Key] = e
	}
	if e.phase != phaseRecorded || e.digest != in.Digest || !e.holder.SameRun(in.From) {
		return nil
	}
	return []Decision{Send{in.From, IntentAck{Shard: in.Shard, Epoch: in.Epoch, From: r.self, Key: in.Key}}}
}

func issueTime(key string) time.Time {
	k, err := ParseKey(key)
	if err != nil {
		return time.Time{}
	}
	return k.Issued
}

// handleIntentAck dispatches a key that the second daemon has recorded, once. If
// the caller's deadline has passed, it records the key as not run instead.
func (r *Replica) handleIntentAck(now time.Time, in IntentAck) []Decision {
	e := r.entries[in.Key]
	current := r.isFirst() && in.Epoch == r.shard.Epoch && r.shard.Second.SameRun(in.From)
	if !current || e == nil || e.phase != phaseIntentSent {
		return nil
	}
	e.acked = true
	if now.After(e.deadline) {
		return r.recordOutcome(now, in.Key, e, Record{Outcome: failure.NotRun})
	}
	return e.dispatch()
}

func (e *entry) dispatch() []Decision {
	e.phase = phaseDispatched
	request := e.request
	e.request = Request{}
	return []Decision{Dispatch{request}}
}

// handleResult applies the outcome of a dispatch.
func (r *Replica) handleResult(now time.Time, rec Record) []Decision {
	if e := r.entries[rec.Key]; e != nil && e.phase == phaseDispatched {
		return r.recordOutcome(now, rec.Key, e, rec)
	}
	if e := r.pastEntries[rec.Key]; e != nil && e.phase == phaseDispatched {
		return r.recordPastOutcome(now, rec.Key, e, rec)
	}
	return nil
}

// recordOutcome stores an outcome. A first daemon that has a second one sends it
// a copy, and reports the outcome to callers once the copy is acknowledged or
// resend stops waiting for that. Any other daemon reports the outcome at once.
func (r *Replica) recordOutcome(now time.Time, key string, e *entry, rec Record) []Decision {
	e.record, e.outcomeTime, e.lastSent = rec, now, now
	if !r.isFirst() || r.alone {
		e.phase = phaseDone
		return e.answerWaiters(Answer{Record: withKey(rec, key)})
	}
	e.phase, r.inFlight[key] = phaseCopying, e
	return []Decision{r.sendToPartner(r.copyMessage(key, e))}
}

// recordPastOutcome delivers an outcome from a past epoch to the first daemon of
// the current pair.
func (r *Replica) recordPastOutcome(now time.Time, key string, e *entry, rec Record) []Decision {
	e.record, e.outcomeTime, e.lastSent, e.phase = rec, now, now, phaseCopying
	return r.sendPastOutcome(key, e)
}

func (r *Replica) sendPastOutcome(key string, e *entry) []Decision {
	c := r.copyMessage(key, e)
	if r.isFirst() {
		out := r.handleCopy(e.outcomeTime, c)
		delete(r.pastEntries, key)
		return append(out, e.answerWaiters(Answer{Record: c.Record})...)
	}
	return []Decision{Send{r.shard.First, c}}
}

// handleCopy stores an outcome that comes from the holder of the key, or from a
// daemon that received it from the holder.
func (r *Replica) handleCopy(now time.Time, in Copy) []Decision {
	key := in.Record.Key
	e := r.entries[key]
	fromFirst := r.isSecond() && !r.sealed && in.Epoch == r.shard.Epoch && r.shard.First.SameRun(in.From)
	if e == nil && (fromFirst || r.restoresOutcome(in)) {
		e = &entry{phase: phaseRecorded, digest: in.Digest, holder: in.From, issued: issueTime(key)}
		r.entries[key] = e
	}
	if e == nil || e.digest != in.Digest {
		return nil
	}
	ack := Send{in.From, CopyAck{Shard: in.Shard, Epoch: r.shard.Epoch, From: r.self, Key: key}}
	switch {
	case e.phase == phaseRecorded:
		return append(r.adoptOutcome(now, key, e, in.Record), ack)
	case (e.phase == phaseDone || e.phase == phaseCopying) && e.record.Outcome == in.Record.Outcome:
		return []Decision{ack}
	}
	return nil
}

// restoresOutcome reports whether this daemon, as the first, accepts an outcome
// of a key whose record was missing when the epoch began. The pair never runs
// such a key.
func (r *Replica) restoresOutcome(in Copy) bool {
	k, err := ParseKey(in.Record.Key)
	known := in.Record.Outcome == failure.Ran || in.Record.Outcome == failure.NotRun && in.Settled
	return err == nil && known && r.isFirst() && r.ownsShard() && !r.historyKnown(k)
}

// adoptOutcome stores an outcome that another daemon recorded. If this daemon is
// the first of the pair and has a second, it sends the second daemon a copy.
func (r *Replica) adoptOutcome(now time.Time, key string, e *entry, rec Record) []Decision {
	e.record, e.outcomeTime, e.lastSent, e.phase = rec, now, now, phaseDone
	if !r.isFirst() || r.alone {
		return nil
	}
	e.phase, e.acked, r.inFlight[key] = phaseCopying, true, e
	return []Decision{r.sendToPartner(r.copyMessage(key, e))}
}

// handleCopyAck reports the outcome to the callers that wait for it. An
// acknowledgment from an older epoch proves nothing, because the second daemon
// begins each epoch without records.
func (r *Replica) handleCopyAck(in CopyAck) []Decision {
	if in.Epoch != r.shard.Epoch {
		return nil
	}
	e := r.entries[in.Key]
	if e == nil || e.phase != phaseCopying {
		if e = r.pastEntries[in.Key]; e == nil || e.phase != phaseCopying {
			return nil
		}
		delete(r.pastEntries, in.Key)
	}
	e.phase, e.acked = phaseDone, true
	return e.answerWaiters(Answer{Record: withKey(e.record, in.Key)})
}

// handleSealed makes this daemon, the first of the pair, stop deciding because
// the second has taken over. In this epoch, it will never dispatch the keys that
// it has not dispatched yet. It reports them to the second daemon as not run, so
// that the second can complete those that it has on record.
func (r *Replica) handleSealed(now time.Time, in Sealed) []Decision {
	if in.Shard.Epoch > r.shard.Epoch {
		return r.handleAssigned(now, in.Shard)
	}
	if !r.isFirst() || in.Epoch != r.shard.Epoch || !r.shard.Second.SameRun(in.From) {
		return nil
	}
	return r.stepDown()
}

func (r *Replica) stepDown() []Decision {
	r.handedOver, r.secondSealed = true, true
	var out []Decision
	for _, key := range r.inFlightKeys() {
		e := r.entries[key]
		if e.phase != phaseIntentSent {
			continue
		}
		out = append(out, e.answerWaiters(Answer{NotOwner: true, Shard: r.shard})...)
		e.phase, e.record = phaseCopying, Record{Outcome: failure.NotRun}
		out = append(out, r.sendToPartner(r.copyMessage(key, e)))
	}
	return out
}
