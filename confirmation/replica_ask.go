package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// handleAsk answers a caller's request, or starts the work that it requires.
func (r *Replica) handleAsk(now time.Time, in Ask) []Decision {
	key, err := ParseKey(in.Request.Key)
	if err != nil {
		return r.refuse(in, failure.BadRequest, failure.NotRun, 0, err.Error())
	}
	if e := r.entries[key.Text]; e != nil && e.phase == phaseDone && e.record.Outcome != failure.Unknown {
		return r.answerFromEntry(in, key, e)
	}
	out := r.claimForAsk(now, in)
	if !r.ownsShard() {
		return append(out, Reply{in.Token, Answer{NotOwner: true, Shard: r.shard}})
	}
	if e := r.entries[key.Text]; e != nil {
		return append(out, r.answerFromEntry(in, key, e)...)
	}
	return append(out, r.handleNewKey(now, in, key)...)
}

// claimForAsk claims the third daemon's grant if this daemon is the second and the
// first daemon answers neither the sender of the request nor this daemon.
func (r *Replica) claimForAsk(now time.Time, in Ask) []Decision {
	if !r.isSecond() || !in.FirstLost {
		return nil
	}
	r.firstUnreachable = true
	return r.claim(now)
}

// answerFromEntry answers a request for a key that has an entry.
func (r *Replica) answerFromEntry(in Ask, key Key, e *entry) []Decision {
	if !in.LookupOnly && e.digest != in.Digest {
		return r.refuseOtherBody(in, e)
	}
	switch e.phase {
	case phaseDone:
		return []Decision{Reply{in.Token, Answer{Record: withKey(e.record, key.Text)}}}
	case phaseRecorded:
		rec := r.unknownRetryable(key.Text)
		if e.holderEnded {
			rec = unknownFinal(key.Text)
		}
		return []Decision{Reply{in.Token, Answer{Record: rec}}}
	default:
		e.waiters = append(e.waiters, in.Token)
		return nil
	}
}

// refuseOtherBody refuses a request whose key was used with another body. The
// outcome is NotRun only if the pair has the other body on record, because then
// the requested body cannot run.
func (r *Replica) refuseOtherBody(in Ask, e *entry) []Decision {
	if e.phase == phaseIntentSent || e.phase == phaseCopying && !e.acked {
		return r.refuse(in, failure.Conflict, failure.Unknown, r.limits.RetryAfter, "key is in use with another body")
	}
	return r.refuse(in, failure.Conflict, failure.NotRun, 0, "key was used with another body")
}

// handleNewKey decides about a key that has no record on this daemon.
func (r *Replica) handleNewKey(now time.Time, in Ask, key Key) []Decision {
	switch {
	case key.Epoch > r.shard.Epoch:
		return []Decision{Reply{in.Token, Answer{NotOwner: true, Shard: r.shard}}}
	case !r.historyKnown(key), now.Sub(key.Issued) > r.limits.Retention-r.limits.Skew:
		return []Decision{Reply{in.Token, Answer{Record: unknownFinal(key.Text)}}}
	case in.LookupOnly:
		return r.refuse(in, failure.NotFound, failure.Unknown, r.limits.RetryAfter, "no record of the key")
	case key.Issued.Sub(now) > r.limits.Skew:
		return r.refuse(in, failure.BadRequest, failure.Unknown, r.limits.RetryAfter, "key was issued in the future")
	}
	if r.isFirst() && !r.alone && r.partner.silent {
		return r.refuse(in, failure.Isolated, failure.Unknown, r.limits.RetryAfter, "the second of the pair does not answer")
	}
	e := &entry{
		acked:  r.alone || r.isSecond(),
		digest: in.Digest, holder: r.self, request: in.Request, issued: key.Issued,
		deadline: now.Add(in.Request.Deadline), lastSent: now, waiters: []uint64{in.Token},
	}
	r.entries[key.Text], r.inFlight[key.Text] = e, e
	if r.isFirst() && !r.alone {
		return []Decision{r.sendToPartner(r.intentMessage(key.Text, e))}
	}
	e.phase = phaseDispatched
	return []Decision{Dispatch{in.Request}}
}

func (r *Replica) intentMessage(key string, e *entry) Intent {
	return Intent{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self, Key: key, Digest: e.digest}
}

// historyKnown reports whether this daemon has all records since the key was
// issued. If so, a key without a record has not been run.
func (r *Replica) historyKnown(key Key) bool {
	return key.Epoch >= r.floor()
}

// floor returns the earliest epoch since which this daemon has all records. A
// second daemon that has not received the first daemon's older records yet has
// only the records of the current epoch.
func (r *Replica) floor() int64 {
	if r.isSecond() && !r.recordsComplete {
		return r.shard.Epoch
	}
	return r.shard.Floor
}

func (r *Replica) refuse(in Ask, code failure.Code, outcome failure.Outcome, retryIn time.Duration, message string) []Decision {
	return []Decision{Reply{in.Token, Answer{
		Record: Record{Key: in.Request.Key, Outcome: outcome, RetryAfter: retryIn}, Code: code, Message: message,
	}}}
}
