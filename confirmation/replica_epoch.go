package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// syncPartLen is the number of records in one Sync.
const syncPartLen = 200

// syncState follows the copy of the first's records to a new second.
type syncState struct {
	keys []string  // first: what to copy
	next int       // first: part under way; second: part expected
	done bool      // first: the second has everything
	sent time.Time // first: when the part left
}

// assigned takes over a newer assignment. Whoever stays in the pair as its
// first keeps the records; everyone else keeps only what it must still tell.
func (r *Replica) assigned(now time.Time, s Shard) []Decision {
	if s.Epoch <= r.shard.Epoch {
		return nil
	}
	keeps := s.First.Same(r.self) && r.shard.has(r.self) && s.Epoch == r.shard.Epoch+1
	wasFirst, retired := r.isFirst(), r.partner.retired
	r.shard = s
	r.sealed, r.complete, r.retired, r.handed, r.sealSeen = false, false, false, false, false
	r.alone, r.wanted, r.granted, r.claimed, r.denied = false, false, Ref{}, time.Time{}, false
	r.partner, r.sync = partnerState{}, syncState{}
	var out []Decision
	switch {
	case keeps && wasFirst:
		out = r.stayFirst(now, retired)
	case !keeps:
		out = r.moveOut(now)
	}
	return append(out, r.beginFirst(now)...)
}

// stayFirst decides about keys whose intent was not acknowledged. The second
// may have taken over and run them, unless it had promised never to.
func (r *Replica) stayFirst(now time.Time, retired bool) []Decision {
	var out []Decision
	for _, key := range r.openKeys() {
		e := r.entries[key]
		if e.phase == phaseSent && retired {
			e.sent = now
			out = append(out, r.send(r.intentOf(key, e)))
		}
		if e.acked || retired {
			continue
		}
		e.phase, e.record, e.closed = phaseDone, Record{Outcome: failure.Unknown}, now
		out = append(out, e.release(Answer{Record: unknownFinal(key)})...)
	}
	return out
}

// moveOut drops the records but for calls whose outcome is not yet told, and
// outcomes that the new pair began without.
func (r *Replica) moveOut(now time.Time) []Decision {
	var out []Decision
	if r.shard.Floor == r.shard.Epoch {
		r.keepOutcomes(now)
	}
	for _, key := range r.openKeys() {
		e := r.entries[key]
		switch e.phase {
		case phaseSent:
			out = append(out, e.release(Answer{NotOwner: true, Shard: r.shard})...)
		case phaseDispatched:
			r.late[key] = e
		case phaseClosing:
			if e.acked {
				r.late[key] = e
			}
		}
	}
	r.forget()
	return out
}

// keepOutcomes keeps known outcomes until the new first has them.
func (r *Replica) keepOutcomes(now time.Time) {
	for key, e := range r.entries {
		if e.phase == phaseDone && e.record.Outcome != failure.Unknown {
			e.phase, e.acked, e.sent, e.closed = phaseClosing, true, time.Time{}, now
			r.late[key] = e
		}
	}
}

// beginFirst starts to copy the records to the second, and sends outcomes that
// it may lack.
func (r *Replica) beginFirst(now time.Time) []Decision {
	if !r.isFirst() {
		return nil
	}
	r.sync.keys = keys(r.entries)
	out := []Decision{r.syncPart(now)}
	for _, key := range r.openKeys() {
		if e := r.entries[key]; e.phase == phaseClosing {
			e.sent = now
			out = append(out, r.send(r.copyOf(key, e)))
		}
	}
	return out
}

func (r *Replica) syncPart(now time.Time) Decision {
	from := min(r.sync.next*syncPartLen, len(r.sync.keys))
	to := min(from+syncPartLen, len(r.sync.keys))
	m := Sync{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self, Part: r.sync.next, Last: to == len(r.sync.keys)}
	for _, key := range r.sync.keys[from:to] {
		if e := r.entries[key]; e != nil && e.phase != phaseSent {
			m.Facts = append(m.Facts, Fact{
				Digest: e.digest, Holder: e.holder, Pending: e.phase != phaseDone, Record: withKey(e.record, key),
			})
		}
	}
	r.sync.sent = now
	return r.send(m)
}

// synced keeps a part of the first's records.
func (r *Replica) synced(in Sync) []Decision {
	if !r.isSecond() || in.Epoch != r.shard.Epoch || !r.shard.First.Same(in.From) || in.Part > r.sync.next {
		return nil
	}
	if in.Part == r.sync.next {
		r.sync.next++
		r.complete = r.complete || in.Last
		for _, f := range in.Facts {
			r.learn(f)
		}
	}
	return []Decision{Send{in.From, SyncAck{Shard: in.Shard, Epoch: in.Epoch, From: r.self, Part: in.Part}}}
}

func (r *Replica) learn(f Fact) {
	key := f.Record.Key
	e := r.entries[key]
	if e == nil {
		e = &entry{phase: phaseRecorded, digest: f.Digest, holder: f.Holder, issued: issuedOf(key)}
		r.entries[key] = e
	}
	if e.phase == phaseRecorded && !f.Pending {
		e.phase, e.record = phaseDone, f.Record
	}
}

func (r *Replica) syncAck(now time.Time, in SyncAck) []Decision {
	current := r.isFirst() && in.Epoch == r.shard.Epoch && r.shard.Second.Same(in.From)
	if !current || in.Part != r.sync.next || r.sync.done {
		return nil
	}
	r.sync.next++
	if r.sync.next*syncPartLen >= len(r.sync.keys) && in.Part*syncPartLen+syncPartLen >= len(r.sync.keys) {
		r.sync.done = true
		return r.leave()
	}
	return []Decision{r.syncPart(now)}
}

// propose asks for the next epoch if there is a reason for it. Without the
// grant or the partner's promise, the partner may have run keys of which there
// is no record here, so the next epoch can't vouch for older keys.
func (r *Replica) propose(now time.Time) []Decision {
	if !r.shard.has(r.self) {
		return nil
	}
	next := Shard{Number: r.shard.Number, Epoch: r.shard.Epoch + 1, First: r.self, Floor: r.floor()}
	switch {
	case r.alone, r.sealed, r.isFirst() && r.partner.retired:
	case r.waitedForGrant(now):
		next.Floor = next.Epoch
	default:
		return nil
	}
	return []Decision{Propose{next}}
}

func (r *Replica) waitedForGrant(now time.Time) bool {
	if r.denied || r.handed || r.retired {
		return r.partner.lost
	}
	return r.partner.silent && !r.claimed.IsZero() && now.Sub(r.claimed) >= r.limits.GrantWait
}

// leave hands the shard over, step by step.
func (r *Replica) leave() []Decision {
	if !r.leaving {
		return nil
	}
	if r.isSecond() && !r.sealed {
		r.retired = true
		return []Decision{r.send(Retire{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self})}
	}
	if !r.isFirst() || !r.sync.done || r.partner.silent || r.sealSeen || r.partner.retired || r.alone {
		return nil
	}
	r.handed = true
	for _, key := range r.openKeys() {
		if r.entries[key].phase == phaseSent {
			return nil
		}
	}
	return []Decision{r.send(HandOver{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self})}
}

// handOver takes over from a first that stops.
func (r *Replica) handOver(in HandOver) []Decision {
	if !r.isSecond() || in.Epoch != r.shard.Epoch || !r.shard.First.Same(in.From) || r.retired {
		return nil
	}
	var out []Decision
	if !r.sealed {
		out = r.seal()
	}
	return append(out, Send{in.From, Sealed{Shard: r.shard, Epoch: in.Epoch, From: r.self}})
}

// partnerRetired looks for another second.
func (r *Replica) partnerRetired(now time.Time, in Retire) []Decision {
	if !r.isFirst() || in.Epoch != r.shard.Epoch || !r.shard.Second.Same(in.From) || r.partner.retired {
		return nil
	}
	r.partner.retired = true
	return r.propose(now)
}
