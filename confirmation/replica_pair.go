package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// intent records that the first will dispatch a key, unless this daemon has
// taken over or the epoch is over.
func (r *Replica) intent(in Intent) []Decision {
	if in.Epoch > r.shard.Epoch || r.shard.Epoch == 0 {
		return nil
	}
	current := in.Epoch == r.shard.Epoch && r.isSecond() && r.shard.First.Same(in.From)
	if !current || r.sealed {
		return []Decision{Send{in.From, Sealed{Shard: r.shard, Epoch: in.Epoch, From: r.self}}}
	}
	e := r.entries[in.Key]
	if e == nil {
		e = &entry{phase: phaseRecorded, digest: in.Digest, holder: in.From, issued: issuedOf(in.Key)}
		r.entries[in.Key] = e
	}
	if e.phase != phaseRecorded || e.digest != in.Digest || !e.holder.Same(in.From) {
		return nil
	}
	return []Decision{Send{in.From, IntentAck{Shard: in.Shard, Epoch: in.Epoch, From: r.self, Key: in.Key}}}
}

func issuedOf(key string) time.Time {
	k, err := ParseKey(key)
	if err != nil {
		return time.Time{}
	}
	return k.Issued
}

// intentAck dispatches the key, once. A key whose caller no longer waits is
// closed instead.
func (r *Replica) intentAck(now time.Time, in IntentAck) []Decision {
	e := r.entries[in.Key]
	current := r.isFirst() && in.Epoch == r.shard.Epoch && r.shard.Second.Same(in.From)
	if !current || e == nil || e.phase != phaseSent {
		return nil
	}
	e.acked = true
	if now.After(e.deadline) {
		return r.closeKey(now, in.Key, e, Record{Outcome: failure.NotRun})
	}
	return e.dispatch()
}

func (e *entry) dispatch() []Decision {
	e.phase = phaseDispatched
	request := e.request
	e.request = Request{}
	return []Decision{Dispatch{request}}
}

// result takes what a dispatch came to.
func (r *Replica) result(now time.Time, rec Record) []Decision {
	if e := r.entries[rec.Key]; e != nil && e.phase == phaseDispatched {
		return r.closeKey(now, rec.Key, e, rec)
	}
	if e := r.late[rec.Key]; e != nil && e.phase == phaseDispatched {
		return r.closeLate(now, rec.Key, e, rec)
	}
	return nil
}

// closeKey keeps the outcome. The first tells it only once the second has it
// too; whoever is alone tells it at once.
func (r *Replica) closeKey(now time.Time, key string, e *entry, rec Record) []Decision {
	e.record, e.closed, e.sent = rec, now, now
	if !r.isFirst() || r.alone {
		e.phase = phaseDone
		return e.release(Answer{Record: withKey(rec, key)})
	}
	e.phase, r.open[key] = phaseClosing, e
	return []Decision{r.send(r.copyOf(key, e))}
}

// closeLate hands an outcome on to the first of the present pair.
func (r *Replica) closeLate(now time.Time, key string, e *entry, rec Record) []Decision {
	e.record, e.closed, e.sent, e.phase = rec, now, now, phaseClosing
	return r.sendLate(key, e)
}

func (r *Replica) sendLate(key string, e *entry) []Decision {
	c := r.copyOf(key, e)
	if r.isFirst() {
		out := r.copied(e.closed, c)
		delete(r.late, key)
		return append(out, e.release(Answer{Record: c.Record})...)
	}
	return []Decision{Send{r.shard.First, c}}
}

// copied keeps an outcome. It comes from the holder of the key, or from a daemon
// that has it from the holder.
func (r *Replica) copied(now time.Time, in Copy) []Decision {
	key := in.Record.Key
	e := r.entries[key]
	fromFirst := r.isSecond() && !r.sealed && in.Epoch == r.shard.Epoch && r.shard.First.Same(in.From)
	if e == nil && (fromFirst || r.recalls(in)) {
		e = &entry{phase: phaseRecorded, digest: in.Digest, holder: in.From, issued: issuedOf(key)}
		r.entries[key] = e
	}
	if e == nil || e.digest != in.Digest {
		return nil
	}
	ack := Send{in.From, CopyAck{Shard: in.Shard, Epoch: r.shard.Epoch, From: r.self, Key: key}}
	switch {
	case e.phase == phaseRecorded:
		return append(r.adopt(now, key, e, in.Record), ack)
	case (e.phase == phaseDone || e.phase == phaseClosing) && e.record.Outcome == in.Record.Outcome:
		return []Decision{ack}
	}
	return nil
}

// recalls tells whether the first takes back an outcome that its epoch began
// without. The key is one that this pair never runs.
func (r *Replica) recalls(in Copy) bool {
	k, err := ParseKey(in.Record.Key)
	known := in.Record.Outcome == failure.Ran || in.Record.Outcome == failure.NotRun && in.Settled
	return err == nil && known && r.isFirst() && r.acting() && !r.certain(k)
}

// adopt makes another daemon's outcome this one's; the first copies it on.
func (r *Replica) adopt(now time.Time, key string, e *entry, rec Record) []Decision {
	e.record, e.closed, e.sent, e.phase = rec, now, now, phaseDone
	if !r.isFirst() || r.alone {
		return nil
	}
	e.phase, e.acked, r.open[key] = phaseClosing, true, e
	return []Decision{r.send(r.copyOf(key, e))}
}

// copyAck tells the outcome to those who wait for it. An acknowledgment of an
// older epoch says nothing, because a second begins each epoch without records.
func (r *Replica) copyAck(in CopyAck) []Decision {
	if in.Epoch != r.shard.Epoch {
		return nil
	}
	e := r.entries[in.Key]
	if e == nil || e.phase != phaseClosing {
		if e = r.late[in.Key]; e == nil || e.phase != phaseClosing {
			return nil
		}
		delete(r.late, in.Key)
	}
	e.phase, e.acked = phaseDone, true
	return e.release(Answer{Record: withKey(e.record, in.Key)})
}

// deposed learns that the second has taken over. Keys that were not dispatched
// never will be by this daemon in this epoch; the second is told, so that it can
// close those it has on record.
func (r *Replica) deposed(now time.Time, in Sealed) []Decision {
	if in.Shard.Epoch > r.shard.Epoch {
		return r.assigned(now, in.Shard)
	}
	if !r.isFirst() || in.Epoch != r.shard.Epoch || !r.shard.Second.Same(in.From) {
		return nil
	}
	return r.depose()
}

func (r *Replica) depose() []Decision {
	r.handed, r.sealSeen = true, true
	var out []Decision
	for _, key := range r.openKeys() {
		e := r.entries[key]
		if e.phase != phaseSent {
			continue
		}
		out = append(out, e.release(Answer{NotOwner: true, Shard: r.shard})...)
		e.phase, e.record = phaseClosing, Record{Outcome: failure.NotRun}
		out = append(out, r.send(r.copyOf(key, e)))
	}
	return out
}
