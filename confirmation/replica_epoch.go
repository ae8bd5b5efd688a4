package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// syncPartRecords is the maximum number of records in one Sync.
const syncPartRecords = 200

// syncState tracks the transfer of the first daemon's records to a new second
// daemon. "first:" and "second:" name the daemon that uses a field or value.
type syncState struct {
	keys     []string  // first: keys of the records to send, sorted
	nextPart int       // first: number of the part in flight; second: number of the part expected
	done     bool      // first: the second daemon has all records
	lastSent time.Time // first: time when the part was last sent
}

// handleAssigned applies a newer assignment. A daemon of the pair that becomes
// the first daemon of the next epoch keeps its records. Any other daemon keeps
// only outcomes that it still has to deliver.
func (r *Replica) handleAssigned(now time.Time, s Shard) []Decision {
	if s.Epoch <= r.shard.Epoch {
		return nil
	}
	keepsRecords := s.First.SameRun(r.self) && r.shard.inPair(r.self) && s.Epoch == r.shard.Epoch+1
	wasFirst, partnerRetired := r.isFirst(), r.partner.retired
	r.shard = s
	r.sealed, r.recordsComplete, r.retired, r.handedOver, r.secondSealed = false, false, false, false, false
	r.alone, r.firstUnreachable, r.grantee, r.claimedAt, r.grantDenied = false, false, Ref{}, time.Time{}, false
	r.partner, r.sync = partnerState{}, syncState{}
	var out []Decision
	switch {
	case keepsRecords && wasFirst:
		out = r.continueAsFirst(now, partnerRetired)
	case !keepsRecords:
		out = r.discardRecords(now)
	}
	return append(out, r.startSync(now)...)
}

// continueAsFirst handles the keys whose intent was not acknowledged in the
// previous epoch. The previous second daemon may have taken over and run them,
// so their outcome is unknown. If it had promised never to take over
// (partnerRetired), the intents are sent to the new second daemon instead.
func (r *Replica) continueAsFirst(now time.Time, partnerRetired bool) []Decision {
	var out []Decision
	for _, key := range r.inFlightKeys() {
		e := r.entries[key]
		if e.phase == phaseIntentSent && partnerRetired {
			e.lastSent = now
			out = append(out, r.sendToPartner(r.intentMessage(key, e)))
		}
		if e.acked || partnerRetired {
			continue
		}
		e.phase, e.record, e.outcomeTime = phaseDone, Record{Outcome: failure.Unknown}, now
		out = append(out, e.answerWaiters(Answer{Record: unknownFinal(key)})...)
	}
	return out
}

// discardRecords drops the records except those of calls whose outcome is not
// delivered yet. If the new epoch begins without the earlier records, it also
// keeps the known outcomes.
func (r *Replica) discardRecords(now time.Time) []Decision {
	var out []Decision
	if r.shard.Floor == r.shard.Epoch {
		r.retainOutcomes(now)
	}
	for _, key := range r.inFlightKeys() {
		e := r.entries[key]
		switch e.phase {
		case phaseIntentSent:
			out = append(out, e.answerWaiters(Answer{NotOwner: true, Shard: r.shard})...)
		case phaseDispatched:
			r.pastEntries[key] = e
		case phaseCopying:
			if e.acked {
				r.pastEntries[key] = e
			}
		}
	}
	r.dropRecords()
	return out
}

// retainOutcomes keeps known outcomes until the new first daemon has them.
func (r *Replica) retainOutcomes(now time.Time) {
	for key, e := range r.entries {
		if e.phase == phaseDone && e.record.Outcome != failure.Unknown {
			e.phase, e.acked, e.lastSent, e.outcomeTime = phaseCopying, true, time.Time{}, now
			r.pastEntries[key] = e
		}
	}
}

// startSync starts the transfer of the records to the second daemon and sends
// outcomes that the second daemon may lack.
func (r *Replica) startSync(now time.Time) []Decision {
	if !r.isFirst() {
		return nil
	}
	r.sync.keys = sortedKeys(r.entries)
	out := []Decision{r.sendSyncPart(now)}
	for _, key := range r.inFlightKeys() {
		if e := r.entries[key]; e.phase == phaseCopying {
			e.lastSent = now
			out = append(out, r.sendToPartner(r.copyMessage(key, e)))
		}
	}
	return out
}

func (r *Replica) sendSyncPart(now time.Time) Decision {
	from := min(r.sync.nextPart*syncPartRecords, len(r.sync.keys))
	to := min(from+syncPartRecords, len(r.sync.keys))
	m := Sync{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self, Part: r.sync.nextPart, Last: to == len(r.sync.keys)}
	for _, key := range r.sync.keys[from:to] {
		if e := r.entries[key]; e != nil && e.phase != phaseIntentSent {
			m.Facts = append(m.Facts, Fact{
				Digest: e.digest, Holder: e.holder, Pending: e.phase != phaseDone, Record: withKey(e.record, key),
			})
		}
	}
	r.sync.lastSent = now
	return r.sendToPartner(m)
}

// handleSync stores one part of the first daemon's records.
func (r *Replica) handleSync(in Sync) []Decision {
	if !r.isSecond() || in.Epoch != r.shard.Epoch || !r.shard.First.SameRun(in.From) || in.Part > r.sync.nextPart {
		return nil
	}
	if in.Part == r.sync.nextPart {
		r.sync.nextPart++
		r.recordsComplete = r.recordsComplete || in.Last
		for _, f := range in.Facts {
			r.applyFact(f)
		}
	}
	return []Decision{Send{in.From, SyncAck{Shard: in.Shard, Epoch: in.Epoch, From: r.self, Part: in.Part}}}
}

func (r *Replica) applyFact(f Fact) {
	key := f.Record.Key
	e := r.entries[key]
	if e == nil {
		e = &entry{phase: phaseRecorded, digest: f.Digest, holder: f.Holder, issued: issueTime(key)}
		r.entries[key] = e
	}
	if e.phase == phaseRecorded && !f.Pending {
		e.phase, e.record = phaseDone, f.Record
	}
}

func (r *Replica) handleSyncAck(now time.Time, in SyncAck) []Decision {
	current := r.isFirst() && in.Epoch == r.shard.Epoch && r.shard.Second.SameRun(in.From)
	if !current || in.Part != r.sync.nextPart || r.sync.done {
		return nil
	}
	r.sync.nextPart++
	if r.sync.nextPart*syncPartRecords >= len(r.sync.keys) && in.Part*syncPartRecords+syncPartRecords >= len(r.sync.keys) {
		r.sync.done = true
		return r.advanceHandOver()
	}
	return []Decision{r.sendSyncPart(now)}
}

// proposeEpoch proposes the next epoch if this daemon continues without its
// partner, or if the second daemon has promised never to take over. If this
// daemon has neither the third daemon's grant nor that promise, the partner may
// have run keys that have no record here. The next epoch then raises Floor, so
// that older keys without a record are answered "unknown".
func (r *Replica) proposeEpoch(now time.Time) []Decision {
	if !r.shard.inPair(r.self) {
		return nil
	}
	next := Shard{Number: r.shard.Number, Epoch: r.shard.Epoch + 1, First: r.self, Floor: r.floor()}
	switch {
	case r.alone, r.sealed, r.isFirst() && r.partner.retired:
	case r.mayProposeUngranted(now):
		next.Floor = next.Epoch
	default:
		return nil
	}
	return []Decision{Propose{next}}
}

// mayProposeUngranted reports whether this daemon may propose an epoch without
// the third daemon's grant. A daemon that makes no more decisions in this epoch
// may do so only if its partner has certainly ended. Any other daemon may do so
// if its partner does not answer and GrantWait has passed since it first claimed
// the grant.
func (r *Replica) mayProposeUngranted(now time.Time) bool {
	if r.grantDenied || r.handedOver || r.retired {
		return r.partner.lost
	}
	return r.partner.silent && !r.claimedAt.IsZero() && now.Sub(r.claimedAt) >= r.limits.GrantWait
}

// advanceHandOver performs the next step of handing the shard over to the
// partner, if this daemon is to stop.
func (r *Replica) advanceHandOver() []Decision {
	if !r.leaving {
		return nil
	}
	if r.isSecond() && !r.sealed {
		r.retired = true
		return []Decision{r.sendToPartner(Retire{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self})}
	}
	if !r.isFirst() || !r.sync.done || r.partner.silent || r.secondSealed || r.partner.retired || r.alone {
		return nil
	}
	r.handedOver = true
	for _, key := range r.inFlightKeys() {
		if r.entries[key].phase == phaseIntentSent {
			return nil
		}
	}
	return []Decision{r.sendToPartner(HandOver{Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self})}
}

// handleHandOver takes over from a first daemon that is stopping.
func (r *Replica) handleHandOver(in HandOver) []Decision {
	if !r.isSecond() || in.Epoch != r.shard.Epoch || !r.shard.First.SameRun(in.From) || r.retired {
		return nil
	}
	var out []Decision
	if !r.sealed {
		out = r.seal()
	}
	return append(out, Send{in.From, Sealed{Shard: r.shard, Epoch: in.Epoch, From: r.self}})
}

// handleRetire proposes an epoch with another second daemon, because the current
// one has promised never to take over.
func (r *Replica) handleRetire(now time.Time, in Retire) []Decision {
	if !r.isFirst() || in.Epoch != r.shard.Epoch || !r.shard.Second.SameRun(in.From) || r.partner.retired {
		return nil
	}
	r.partner.retired = true
	return r.proposeEpoch(now)
}
