package confirmation

import (
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// phase tells how far a key has come on this daemon.
type phase uint8

const (
	// phaseSent: the intent left for the second, no acknowledgment yet.
	phaseIntentSent phase = iota
	// phaseRecorded: another daemon, the holder, may dispatch the key.
	phaseRecorded
	// phaseDispatched: this daemon sent the call to a target.
	phaseDispatched
	// phaseClosing: the outcome is known and its copy not yet acknowledged.
	phaseCopying
	// phaseDone: the outcome is final here.
	phaseDone
)

type entry struct {
	phase       phase
	digest      string
	holder      Ref  // whose intent is recorded
	holderEnded bool // the holder's run has certainly ended
	acked       bool // the second of the key's epoch had it on record
	request     Request
	record      Record
	issued      time.Time
	deadline    time.Time
	lastSent    time.Time // last message
	outcomeTime time.Time // when the outcome came
	waiters     []uint64
}

// Replica holds one shard's records on one daemon and decides. It has no clock
// and does nothing by itself: inputs come with their time, decisions go out.
//
// A key is dispatched by the first of the pair once the second has recorded the
// intent. One of the two goes on without the other only with the grant of the
// third, which gives it once in an epoch: then the second seals, records no more
// intents and dispatches keys it has no record of, or the first dispatches
// without intents. A key names the epoch it was issued in and is refused in
// earlier ones; a new epoch of whose past not all records are known says so, and
// then tells nothing but "unknown" of older keys. So one daemon alone can
// dispatch a key, however messages are lost, late or doubled, whoever is paused.
type Replica struct {
	self        Ref
	limits      Limits
	shard       Shard
	entries     map[string]*entry
	inFlight    map[string]*entry // the entries that await an answer, and some that no longer do
	pastEntries map[string]*entry // dispatched in an epoch that is over for this daemon
	lastSweep   time.Time

	alone            bool // first: goes on without the second, which never takes over
	handedOver       bool // first: decides no more
	secondSealed     bool // first: the second has taken over
	sealed           bool // second: took over
	recordsComplete  bool // second: has all of the first's records
	retired          bool // second: never takes over
	firstUnreachable bool // second: a caller could not reach the first
	grantee          Ref  // third: who goes on without the other
	claimedAt        time.Time
	grantDenied      bool // the partner has the grant
	leaving          bool // asked to stop
	partner          partnerState
	sync             syncState
}

type partnerState struct {
	silent  bool
	lost    bool
	retired bool
}

// NewReplica returns a replica that knows no assignment yet.
func NewReplica(self Ref, limits Limits) *Replica {
	r := &Replica{self: self, limits: limits, pastEntries: make(map[string]*entry)}
	r.dropRecords()
	return r
}

// dropRecords drops all records.
func (r *Replica) dropRecords() {
	r.entries, r.inFlight = make(map[string]*entry), make(map[string]*entry)
}

// Shard returns the newest assignment known.
func (r *Replica) Shard() Shard { return r.shard }

// CanStop tells whether the daemon may stop without losing a record: the shard is
// in other hands and no answer of a target is awaited. Without a spare daemon
// that could replace it, a second may stop once it has promised never to take
// over, because the first has all records.
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

// holders returns the runs that may still tell an outcome of a recorded key.
func (r *Replica) holders() map[Ref]bool {
	out := make(map[Ref]bool)
	for _, e := range r.entries {
		if e.phase == phaseRecorded && !e.holderEnded && !e.holder.SameRun(r.self) {
			out[e.holder] = true
		}
	}
	return out
}

// idle tells whether a tick has nothing to do but to forget old records.
func (r *Replica) idle() bool {
	if len(r.inFlight) > 0 || len(r.pastEntries) > 0 || r.leaving || r.isFirst() && !r.sync.done {
		return false
	}
	return !r.sealed && !r.alone && !r.partner.silent && !r.partner.retired
}

func (r *Replica) isFirst() bool  { return r.shard.Epoch > 0 && r.shard.First.SameRun(r.self) }
func (r *Replica) isSecond() bool { return r.shard.Epoch > 0 && r.shard.Second.SameRun(r.self) }

// ownsShard tells whether this daemon may decide about keys.
func (r *Replica) ownsShard() bool {
	return r.isFirst() && !r.handedOver || r.isSecond() && r.sealed
}

// mayIssue tells whether keys issued in this epoch can be dispatched from here.
func (r *Replica) mayIssue() bool {
	return r.ownsShard() && !r.leaving && (!r.isFirst() || r.alone || !r.partner.silent)
}

// isInFlight tells whether an entry awaits an answer.
func (e *entry) isInFlight() bool {
	return e.phase == phaseIntentSent || e.phase == phaseDispatched || e.phase == phaseCopying
}

// inFlightKeys returns the keys that await an answer, in order.
func (r *Replica) inFlightKeys() []string {
	for key, e := range r.inFlight {
		if !e.isInFlight() || r.entries[key] != e {
			delete(r.inFlight, key)
		}
	}
	return sortedKeys(r.inFlight)
}

// Step takes one input and returns what is to be done, in a fixed order.
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

// sortedKeys returns the keys in order, so that decisions don't depend on map order.
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
		Digest: e.digest, Record: withKey(e.record, key), Settled: e.acked,
	}
}

func withKey(rec Record, key string) Record {
	rec.Key = key
	return rec
}

// answerWaiters answers everyone who waits for a key.
func (e *entry) answerWaiters(a Answer) []Decision {
	var out []Decision
	for _, w := range e.waiters {
		out = append(out, Reply{Token: w, Answer: a})
	}
	e.waiters = nil
	return out
}

// unknownFinal is the record of a key about which nobody will ever tell more.
func unknownFinal(key string) Record { return Record{Key: key, Outcome: failure.Unknown} }

// unknownRetryable is the record of a key about which more may be known later.
func (r *Replica) unknownRetryable(key string) Record {
	return Record{Key: key, Outcome: failure.Unknown, RetryAfter: r.limits.RetryAfter}
}
