package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// reach notes whether the partner answers. Callers that wait for a
// second that does not are told that nothing is known yet, unless a grant comes soon.
func (r *Replica) reach(now time.Time, in Reach) []Decision {
	if !r.shard.has(r.self) || !r.shard.partner(r.self).Same(in.Peer) {
		return nil
	}
	r.partner.silent = in.Silent || r.partner.lost
	if !r.partner.silent {
		r.wanted, r.claimed = false, time.Time{}
		return nil
	}
	out := r.claim(now)
	if r.isFirst() && !r.alone && now.Sub(r.claimed) >= r.limits.GrantWait {
		out = append(out, r.releaseSent()...)
	}
	return out
}

func (r *Replica) releaseSent() []Decision {
	var out []Decision
	for _, key := range r.openKeys() {
		if e := r.entries[key]; e.phase == phaseSent {
			out = append(out, e.release(Answer{Record: r.unknownYet(key)})...)
		}
	}
	return out
}

// lost learns that another daemon's run has certainly ended.
func (r *Replica) lost(now time.Time, peer Ref) []Decision {
	for _, e := range r.entries {
		e.orphan = e.orphan || e.phase == phaseRecorded && e.holder.Same(peer)
	}
	if !r.shard.has(r.self) || !r.shard.partner(r.self).Same(peer) || r.partner.lost {
		return nil
	}
	r.partner.lost = true
	return r.reach(now, Reach{Peer: peer, Silent: true})
}

// claim asks the third for the right to go on alone.
func (r *Replica) claim(now time.Time) []Decision {
	if !r.mayClaim() {
		return nil
	}
	if r.claimed.IsZero() {
		r.claimed = now
	}
	if r.isFirst() && r.partner.retired {
		return r.goAlone(now)
	}
	if r.shard.Third.ID == "" {
		return nil
	}
	return []Decision{Send{r.shard.Third, Claim{Shard: r.shard, From: r.self}}}
}

func (r *Replica) mayClaim() bool {
	if !r.partner.silent || r.denied {
		return false
	}
	if r.isFirst() {
		return !r.alone && !r.handed
	}
	return r.isSecond() && !r.sealed && !r.retired && (r.wanted || r.partner.lost)
}

// claimedBy grants the first claim of an epoch and tells others who has it.
func (r *Replica) claimedBy(now time.Time, in Claim) []Decision {
	out := r.assigned(now, in.Shard)
	if in.Shard.Epoch < r.shard.Epoch {
		return append(out, Send{in.From, Sealed{Shard: r.shard, Epoch: in.Shard.Epoch, From: r.self}})
	}
	if !r.shard.Third.Same(r.self) || !r.shard.has(in.From) {
		return out
	}
	if r.granted.ID == "" {
		r.granted = in.From
	}
	return append(out, Send{in.From, Granted{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self, Holder: r.granted}})
}

// grantedTo learns who goes on alone in this epoch.
func (r *Replica) grantedTo(now time.Time, in Granted) []Decision {
	if in.Epoch != r.shard.Epoch || !r.shard.Third.Same(in.From) || !r.shard.has(r.self) {
		return nil
	}
	switch {
	case !in.Holder.Same(r.self):
		r.denied = true
		if r.isFirst() && !r.alone {
			return r.depose()
		}
	case r.isFirst() && !r.handed && !r.alone:
		return r.goAlone(now)
	case r.isSecond() && !r.sealed && !r.retired:
		return r.seal()
	}
	return nil
}

// goAlone dispatches what waits for the second and closes what it should copy.
func (r *Replica) goAlone(now time.Time) []Decision {
	r.alone = true
	var out []Decision
	for _, key := range r.openKeys() {
		e := r.entries[key]
		switch {
		case e.phase == phaseSent && now.After(e.deadline):
			e.acked = true
			out = append(out, r.closeKey(now, key, e, Record{Outcome: failure.NotRun})...)
		case e.phase == phaseSent:
			e.acked = true
			out = append(out, e.dispatch()...)
		case e.phase == phaseClosing:
			e.phase = phaseDone
			out = append(out, e.release(Answer{Record: withKey(e.record, key)})...)
		}
	}
	return append(out, r.propose(now)...)
}

// seal takes over from the first: no intent of this epoch is recorded from now
// on, so the first can dispatch no key that is not on record here.
func (r *Replica) seal() []Decision {
	r.sealed = true
	return r.propose(time.Time{})
}

// renew promises never to take over in this epoch.
func (r *Replica) renew(in Renew) []Decision {
	if !r.isSecond() || in.Epoch != r.shard.Epoch || !r.shard.First.Same(in.From) || r.sealed {
		return nil
	}
	r.retired = true
	return []Decision{r.send(Retire{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self})}
}
