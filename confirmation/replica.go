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
	phaseSent phase = iota
	// phaseRecorded: another daemon, the holder, may dispatch the key.
	phaseRecorded
	// phaseDispatched: this daemon sent the call to a target.
	phaseDispatched
	// phaseClosing: the outcome is known and its copy not yet acknowledged.
	phaseClosing
	// phaseDone: the outcome is final here.
	phaseDone
)

type entry struct {
	phase    phase
	digest   string
	holder   Ref  // whose intent is recorded
	orphan   bool // the holder's run has certainly ended
	acked    bool // the second of the key's epoch had it on record
	request  Request
	record   Record
	issued   time.Time
	deadline time.Time
	sent     time.Time // last message
	closed   time.Time // when the outcome came
	waiters  []uint64
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
	self    Ref
	limits  Limits
	shard   Shard
	entries map[string]*entry
	open    map[string]*entry // the entries that await an answer, and some that no longer do
	late    map[string]*entry // dispatched in an epoch that is over for this daemon
	swept   time.Time

	alone    bool // first: goes on without the second, which never takes over
	handed   bool // first: decides no more
	sealSeen bool // first: the second has taken over
	sealed   bool // second: took over
	complete bool // second: has all of the first's records
	retired  bool // second: never takes over
	wanted   bool // second: a caller could not reach the first
	granted  Ref  // third: who goes on without the other
	claimed  time.Time
	denied   bool // the partner has the grant
	leaving  bool // asked to stop
	partner  partnerState
	sync     syncState
}

type partnerState struct {
	silent  bool
	lost    bool
	retired bool
}

// NewReplica returns a replica that knows no assignment yet.
func NewReplica(self Ref, limits Limits) *Replica {
	r := &Replica{self: self, limits: limits, late: make(map[string]*entry)}
	r.forget()
	return r
}

// forget drops all records.
func (r *Replica) forget() {
	r.entries, r.open = make(map[string]*entry), make(map[string]*entry)
}

// Shard returns the newest assignment known.
func (r *Replica) Shard() Shard { return r.shard }

// Free tells whether the daemon may stop without losing a record: the shard is
// in other hands and no answer of a target is awaited. Without a spare daemon
// that could replace it, a second may stop once it has promised never to take
// over, because the first has all records.
func (r *Replica) Free(spare bool) bool {
	if len(r.late) > 0 {
		return false
	}
	if !r.shard.has(r.self) {
		return true
	}
	if r.isSecond() && r.retired && !spare {
		return true
	}
	return r.isFirst() && r.sealSeen && len(r.openKeys()) == 0
}

// holders returns the runs that may still tell an outcome of a recorded key.
func (r *Replica) holders() map[Ref]bool {
	out := make(map[Ref]bool)
	for _, e := range r.entries {
		if e.phase == phaseRecorded && !e.orphan && !e.holder.Same(r.self) {
			out[e.holder] = true
		}
	}
	return out
}

// idle tells whether a tick has nothing to do but to forget old records.
func (r *Replica) idle() bool {
	if len(r.open) > 0 || len(r.late) > 0 || r.leaving || r.isFirst() && !r.sync.done {
		return false
	}
	return !r.sealed && !r.alone && !r.partner.silent && !r.partner.retired
}

func (r *Replica) isFirst() bool  { return r.shard.Epoch > 0 && r.shard.First.Same(r.self) }
func (r *Replica) isSecond() bool { return r.shard.Epoch > 0 && r.shard.Second.Same(r.self) }

// acting tells whether this daemon may decide about keys.
func (r *Replica) acting() bool {
	return r.isFirst() && !r.handed || r.isSecond() && r.sealed
}

// mayIssue tells whether keys issued in this epoch can be dispatched from here.
func (r *Replica) mayIssue() bool {
	return r.acting() && !r.leaving && (!r.isFirst() || r.alone || !r.partner.silent)
}

// waits tells whether an entry awaits an answer.
func (e *entry) waits() bool {
	return e.phase == phaseSent || e.phase == phaseDispatched || e.phase == phaseClosing
}

// openKeys returns the keys that await an answer, in order.
func (r *Replica) openKeys() []string {
	for key, e := range r.open {
		if !e.waits() || r.entries[key] != e {
			delete(r.open, key)
		}
	}
	return keys(r.open)
}

// Step takes one input and returns what is to be done, in a fixed order.
func (r *Replica) Step(now time.Time, in Input) []Decision {
	switch in := in.(type) {
	case Assigned:
		return r.assigned(now, in.Shard)
	case Ask:
		return r.ask(now, in)
	case Result:
		return r.result(now, in.Record)
	case Reach:
		return r.reach(now, in)
	case Lost:
		return r.lost(now, in.Peer)
	case Repair:
		return r.repair()
	case Leave:
		r.leaving = true
		return r.leave()
	case Tick:
		return r.tick(now)
	default:
		return r.message(now, in)
	}
}

func (r *Replica) message(now time.Time, in Input) []Decision {
	switch in := in.(type) {
	case Intent:
		return r.intent(in)
	case IntentAck:
		return r.intentAck(now, in)
	case Sealed:
		return r.deposed(now, in)
	case Copy:
		return r.copied(now, in)
	case CopyAck:
		return r.copyAck(in)
	case Sync:
		return r.synced(in)
	case SyncAck:
		return r.syncAck(now, in)
	case Claim:
		return r.claimedBy(now, in)
	case Granted:
		return r.grantedTo(now, in)
	case Renew:
		return r.renew(in)
	case HandOver:
		return r.handOver(in)
	case Retire:
		return r.partnerRetired(now, in)
	}
	return nil
}

// keys returns the keys in order, so that decisions don't depend on map order.
func keys(m map[string]*entry) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (r *Replica) send(m Input) Decision { return Send{To: r.shard.partner(r.self), Message: m} }

func (r *Replica) copyOf(key string, e *entry) Copy {
	return Copy{
		Shard: r.shard.Number, Epoch: r.shard.Epoch, From: r.self,
		Digest: e.digest, Record: withKey(e.record, key), Settled: e.acked,
	}
}

func withKey(rec Record, key string) Record {
	rec.Key = key
	return rec
}

// release answers everyone who waits for a key.
func (e *entry) release(a Answer) []Decision {
	var out []Decision
	for _, w := range e.waiters {
		out = append(out, Reply{Token: w, Answer: a})
	}
	e.waiters = nil
	return out
}

// unknownFinal is the record of a key about which nobody will ever tell more.
func unknownFinal(key string) Record { return Record{Key: key, Outcome: failure.Unknown} }

// unknownYet is the record of a key about which more may be known later.
func (r *Replica) unknownYet(key string) Record {
	return Record{Key: key, Outcome: failure.Unknown, RetryAfter: r.limits.RetryAfter}
}
