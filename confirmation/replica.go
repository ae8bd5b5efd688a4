package confirmation

import (
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// phase is the progress of a key on this daemon.
type phase uint8

const (
	// phaseIntentSent: the intent to run the key was sent to the second daemon
	// of the pair, which has not acknowledged it yet.
	phaseIntentSent phase = iota
	// phaseRecorded: this daemon has recorded that another daemon, the holder,
	// may dispatch the key.
	phaseRecorded
	// phaseDispatched: this daemon sent the call to a target.
	phaseDispatched
	// phaseCopying: the outcome is known and was sent to another daemon, which
	// has not acknowledged it yet.
	phaseCopying
	// phaseDone: the outcome is final on this daemon.
	phaseDone
)

// entry is the state of one key on this daemon.
type entry struct {
	phase       phase
	digest      string // of the request; see requestDigest
	holder      Ref    // incarnation of the daemon that may dispatch the key
	holderEnded bool   // the holder has certainly ended
	settled     bool   // it is certain that no daemon but the holder can run the key
	request     Request
	record      Record
	issued      time.Time
	deadline    time.Time
	lastSent    time.Time // time of the last message about the key
	outcomeTime time.Time // time when the outcome became known
	waiters     []uint64  // tokens of the Asks that wait for the outcome
}

// Replica is the state machine of one shard on one daemon. It has no clock and
// performs no I/O: each input comes with its time, and Step returns the
// decisions to carry out.
//
// A shard has three daemons. The first and the second form the pair, which keeps
// the records. The third keeps no records; it only gives the grant, once in an
// epoch and to one daemon of the pair, which may then continue without the other.
//
// The first daemon sends its intent to run a key to the second and dispatches the
// key once the second has recorded the intent. A first daemon with the grant
// dispatches without intents. A second daemon with the grant seals the epoch: it
// records no more intents and dispatches keys of which it has no record.
//
// A key carries the epoch in which it was issued. A daemon that still knows only
// an earlier epoch refuses the key. Shard.Floor is the epoch in which records were
// last lost: a key that was issued in an earlier epoch and has no record may have
// run, so it is answered "unknown" and not dispatched.
//
// These rules let at most one daemon dispatch a key, even if messages are lost,
// delayed or duplicated and daemons are paused.
type Replica struct {
	self        Ref
	limits      Limits
	shard       Shard
	entries     map[string]*entry
	inFlight    map[string]*entry // entries that await an acknowledgment or an outcome; inFlightKeys removes completed ones
	pastEntries map[string]*entry // entries from past epochs whose outcome is awaited or has to be delivered
	lastSweep   time.Time         // last search for expired records

	// State of the current epoch. "first:" marks a field that is used only while
	// this daemon is the first of the shard; "second:" and "third:" likewise.
	alone            bool      // first: continues without the second daemon, which never takes over
	handedOver       bool      // first: makes no more decisions about keys
	secondSealed     bool      // first: the second daemon has taken over
	sealed           bool      // second: has taken over from the first daemon
	recordsComplete  bool      // second: has all records of the first daemon
	retired          bool      // second: has promised never to take over
	firstUnreachable bool      // second: a caller's request could not reach the first daemon
	grantee          Ref       // third: daemon of the pair that has the grant
	claimedAt        time.Time // first claim of the grant since the partner fell silent; zero if there was none
	grantDenied      bool      // the partner, not this daemon, has the grant
	leaving          bool      // this daemon is to stop
	partner          partnerState
	sync             syncState
}

// partnerState is what a replica knows about the other daemon of the pair.
type partnerState struct {
	silent  bool // it does not answer probes
	lost    bool // its incarnation has certainly ended
	retired bool // it promised never to take over in this epoch
}

// NewReplica returns a replica without an assignment.
func NewReplica(self Ref, limits Limits) *Replica {
	r := &Replica{self: self, limits: limits, pastEntries: make(map[string]*entry)}
	r.dropRecords()
	return r
}

// dropRecords removes all entries except pastEntries.
func (r *Replica) dropRecords() {
	r.entries, r.inFlight = make(map[string]*entry), make(map[string]*entry)
}

// Shard returns the newest known assignment.
func (r *Replica) Shard() Shard { return r.shard }

// CanStop reports whether the daemon may stop without losing a record: the
// shard belongs to other daemons and no answer of a target is awaited.
// spareDaemon reports whether another daemon could replace this one. If not, the
// second daemon may also stop once it has promised never to take over, because
// the first has all records.
func (r *Replica) CanStop(spareDaemon bool) bool {
	if len(r.pastEntries) > 0 {
		return false
	}
	if !r.shard.inPair(r.self) {
		return true
	}
	if r.isSecond() && r.retired && !spareDaemon {
		return true
	}
	return r.isFirst() && r.secondSealed && len(r.inFlightKeys()) == 0
}

// holders returns the incarnations of other daemons that may still report the
// outcome of a recorded key.
func (r *Replica) holders() map[Ref]bool {
	out := make(map[Ref]bool)
	for _, e := range r.entries {
		if e.phase == phaseRecorded && !e.holderEnded && !e.holder.SameRun(r.self) {
			out[e.holder] = true
		}
	}
	return out
}

// idle reports whether a tick would only expire old records.
func (r *Replica) idle() bool {
	if len(r.inFlight) > 0 || len(r.pastEntries) > 0 || r.leaving || r.isFirst() && !r.sync.done {
		return false
	}
	return !r.sealed && !r.alone && !r.partner.silent && !r.partner.retired
}

func (r *Replica) isFirst() bool  { return r.shard.Epoch > 0 && r.shard.First.SameRun(r.self) }
func (r *Replica) isSecond() bool { return r.shard.Epoch > 0 && r.shard.Second.SameRun(r.self) }

// ownsShard reports whether this daemon may decide about keys.
func (r *Replica) ownsShard() bool {
	return r.isFirst() && !r.handedOver || r.isSecond() && r.sealed
}

// mayIssue reports whether this daemon may issue new keys of the shard. It issues
// only keys that it could dispatch itself in this epoch.
func (r *Replica) mayIssue() bool {
	return r.ownsShard() && !r.leaving && (!r.isFirst() || r.alone || !r.partner.silent)
}

// isInFlight reports whether the entry awaits an acknowledgment or an outcome.
func (e *entry) isInFlight() bool {
	return e.phase == phaseIntentSent || e.phase == phaseDispatched || e.phase == phaseCopying
}

// inFlightKeys returns the keys that await an acknowledgment or an outcome,
// sorted. It removes all other keys from inFlight.
func (r *Replica) inFlightKeys() []string {
	for key, e := range r.inFlight {
		if !e.isInFlight() || r.entries[key] != e {
			delete(r.inFlight, key)
		}
	}
	return sortedKeys(r.inFlight)
}

// Step applies one input and returns the decisions to carry out, in a
// deterministic order.
func (r *Replica) Step(now time.Time, in Input) []Decision {
	switch in := in.(type) {
	case Assigned:
		return r.handleAssigned(now, in.Shard)
	case Ask:
		return r.handleAsk(now, in)
	case Result:
		return r.handleResult(now, in.Record)
	case Reach:
		return r.handleReach(now, in)
	case Lost:
		return r.handleLost(now, in.Peer)
	case Repair:
		return r.handleRepair()
	case Leave:
		r.leaving = true
		return r.advanceHandOver()
	case Tick:
		return r.handleTick(now)
	default:
		return r.handleMessage(now, in)
	}
}

func (r *Replica) handleMessage(now time.Time, in Input) []Decision {
	switch in := in.(type) {
	case Intent:
		return r.handleIntent(in)
	case IntentAck:
		return r.handleIntentAck(now, in)
	case Sealed:
		return r.handleSealed(now, in)
	case Copy:
		return r.handleCopy(now, in)
	case CopyAck:
		return r.handleCopyAck(in)
	case Sync:
		return r.handleSync(in)
	case SyncAck:
		return r.handleSyncAck(now, in)
	case Claim:
		return r.handleClaim(now, in)
	case Granted:
		return r.handleGranted(now, in)
	case Renew:
		return r.handleRenew(in)
	case HandOver:
		return r.handleHandOver(in)
	case Retire:
		return r.handleRetire(now, in)
	}
	return nil
}

// sortedKeys returns the keys in order, so that decisions do not depend on the
// iteration order of the map.
func sortedKeys(m map[string]*entry) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (r *Replica) sendToPartner(m Input) Decision {
	return Send{To: r.shard.partner(r.self), Message: m}
}

func (r *Replica) copyMessage(key string, e *entry) Copy {
	return Copy{
		Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self,
		Digest: e.digest, Record: withKey(e.record, key), Settled: e.settled,
	}
}

func withKey(rec Record, key string) Record {
	rec.Key = key
	return rec
}

// answerWaiters replies to all callers that wait for the key.
func (e *entry) answerWaiters(a Answer) []Decision {
	var out []Decision
	for _, w := range e.waiters {
		out = append(out, Reply{Token: w, Answer: a})
	}
	e.waiters = nil
	return out
}

// unknownFinal returns the record of a key whose outcome will never be known.
func unknownFinal(key string) Record { return Record{Key: key, Outcome: failure.Unknown} }

// unknownRetryable returns the record of a key whose outcome may become known
// later.
func (r *Replica) unknownRetryable(key string) Record {
	return Record{Key: key, Outcome: failure.Unknown, RetryAfter: r.limits.RetryAfter}
}
