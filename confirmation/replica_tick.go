package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// lateSends bounds the outcomes of over epochs that one tick sends.
const lateSends = 64

// sweepPeriod is how often records that are too old are looked for.
const sweepPeriod = 500 * time.Millisecond

// tick sends again what was not answered and forgets what is too old.
func (r *Replica) tick(now time.Time) []Decision {
	r.expire(now)
	var out []Decision
	if r.isFirst() {
		out = append(out, r.resend(now)...)
		if !r.sync.done && !r.alone && now.Sub(r.sync.sent) >= r.limits.Resend {
			out = append(out, r.syncPart(now))
		}
	}
	out = append(out, r.resendLate(now)...)
	out = append(out, r.claim(now)...)
	out = append(out, r.leave()...)
	return append(out, r.propose(now)...)
}

// repair begins the way to an epoch with another third, while the pair is whole.
func (r *Replica) repair() []Decision {
	if !r.isFirst() || r.handed || r.alone || !r.sync.done || r.partner.silent || r.partner.retired {
		return nil
	}
	return []Decision{r.send(Renew{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self})}
}

func (r *Replica) resend(now time.Time) []Decision {
	var out []Decision
	for _, key := range r.openKeys() {
		e := r.entries[key]
		if e.phase == phaseClosing && e.record.Outcome != failure.NotRun && now.Sub(e.closed) >= r.limits.CopyWait {
			out = append(out, e.release(Answer{Record: withKey(e.record, key)})...)
		}
		if now.Sub(e.sent) < r.limits.Resend {
			continue
		}
		switch e.phase {
		case phaseSent:
			e.sent = now
			out = append(out, r.send(r.intentOf(key, e)))
		case phaseClosing:
			e.sent = now
			out = append(out, r.send(r.copyOf(key, e)))
		}
	}
	return out
}

// resendLate sends outcomes of epochs that are over. A true outcome is told to
// those who wait for it without an acknowledgment.
func (r *Replica) resendLate(now time.Time) []Decision {
	var out []Decision
	sends := 0
	for _, key := range keys(r.late) {
		e := r.late[key]
		if e.phase != phaseClosing || now.Sub(e.sent) < r.limits.Resend {
			continue
		}
		if e.record.Outcome != failure.NotRun && now.Sub(e.closed) >= r.limits.CopyWait {
			out = append(out, e.release(Answer{Record: withKey(e.record, key)})...)
		}
		if sends++; sends > lateSends {
			break
		}
		e.sent = now
		out = append(out, r.sendLate(key, e)...)
	}
	return out
}

// expire forgets records after their retention. A key without a record is
// answered "unknown" before its record is forgotten anywhere.
func (r *Replica) expire(now time.Time) {
	if now.Sub(r.swept) < sweepPeriod {
		return
	}
	r.swept = now
	for _, m := range []map[string]*entry{r.entries, r.late} {
		for key, e := range m {
			if e.phase != phaseDispatched && now.Sub(e.issued) > r.limits.Retention+r.limits.Skew {
				delete(m, key)
			}
		}
	}
}
