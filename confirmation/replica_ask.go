package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// ask decides about a caller's call.
func (r *Replica) ask(now time.Time, in Ask) []Decision {
	key, err := ParseKey(in.Request.Key)
	if err != nil {
		return r.refuse(in, failure.BadRequest, failure.NotRun, 0, err.Error())
	}
	if e := r.entries[key.Text]; e != nil && e.phase == phaseDone && e.record.Outcome != failure.Unknown {
		return r.known(in, key, e)
	}
	out := r.takeOverFor(now, in)
	if !r.acting() {
		return append(out, Reply{in.Token, Answer{NotOwner: true, Shard: r.shard}})
	}
	if e := r.entries[key.Text]; e != nil {
		return append(out, r.known(in, key, e)...)
	}
	return append(out, r.fresh(now, in, key)...)
}

// takeOverFor claims the shard when neither the asking daemon nor this one gets
// an answer from the first.
func (r *Replica) takeOverFor(now time.Time, in Ask) []Decision {
	if !r.isSecond() || !in.FirstLost {
		return nil
	}
	r.wanted = true
	return r.claim(now)
}

// known answers from a record.
func (r *Replica) known(in Ask, key Key, e *entry) []Decision {
	if !in.LookupOnly && e.digest != in.Digest {
		return r.otherBody(in, e)
	}
	switch e.phase {
	case phaseDone:
		return []Decision{Reply{in.Token, Answer{Record: withKey(e.record, key.Text)}}}
	case phaseRecorded:
		rec := r.unknownYet(key.Text)
		if e.orphan {
			rec = unknownFinal(key.Text)
		}
		return []Decision{Reply{in.Token, Answer{Record: rec}}}
	default:
		e.waiters = append(e.waiters, in.Token)
		return nil
	}
}

// otherBody refuses a key that was used with another body. The body asked for
// now can't run if the pair has the other one on record.
func (r *Replica) otherBody(in Ask, e *entry) []Decision {
	if e.phase == phaseSent || e.phase == phaseClosing && !e.acked {
		return r.refuse(in, failure.Conflict, failure.Unknown, r.limits.RetryAfter, "key is in use with another body")
	}
	return r.refuse(in, failure.Conflict, failure.NotRun, 0, "key was used with another body")
}

// fresh decides about a key of which there is no record here.
func (r *Replica) fresh(now time.Time, in Ask, key Key) []Decision {
	switch {
	case key.Epoch > r.shard.Epoch:
		return []Decision{Reply{in.Token, Answer{NotOwner: true, Shard: r.shard}}}
	case !r.certain(key), now.Sub(key.Issued) > r.limits.Retention-r.limits.Skew:
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
		deadline: now.Add(in.Request.Deadline), sent: now, waiters: []uint64{in.Token},
	}
	r.entries[key.Text], r.open[key.Text] = e, e
	if r.isFirst() && !r.alone {
		return []Decision{r.send(r.intentOf(key.Text, e))}
	}
	e.phase = phaseDispatched
	return []Decision{Dispatch{in.Request}}
}

func (r *Replica) intentOf(key string, e *entry) Intent {
	return Intent{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self, Key: key, Digest: e.digest}
}

// certain tells whether a key without a record can't have run: all records
// since it was issued are here.
func (r *Replica) certain(key Key) bool {
	return key.Epoch >= r.floor()
}

// floor returns the epoch since which all records are here. A second that lacks
// the first's older records knows of its own epoch only.
func (r *Replica) floor() int64 {
	if r.isSecond() && !r.complete {
		return r.shard.Epoch
	}
	return r.shard.Floor
}

func (r *Replica) refuse(in Ask, code failure.Code, o failure.Outcome, after time.Duration, message string) []Decision {
	return []Decision{Reply{in.Token, Answer{
		Record: Record{Key: in.Request.Key, Outcome: o, RetryAfter: after}, Code: code, Message: message,
	}}}
}
