package confirmation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/trace"
)

// ruleFaults are deliberate violations of the protocol, one rule each. The
// exploration must detect each of them.
type ruleFaults struct {
	expireEarly        bool // records are removed before their keys are refused
	ackAfterSeal       bool // the second daemon acknowledges all intents, even after it has taken over
	sameIncarnation    bool // a restarted daemon keeps its previous incarnation
	resetAsNotRun      bool // a call whose connection broke is reported as not run
	actAfterHandOver   bool // the first daemon continues to decide after it has handed over
	ignoreFloor        bool // a new epoch does not raise Floor, so old keys without a record can run
	replaceLiveSecond  bool // the second daemon is replaced although it may still take over
	twoGrants          bool // the third daemon gives its grant to both daemons of the pair
	dispatchUnrecorded bool // the first daemon dispatches before the second has recorded the intent
}

type simNode struct {
	incarnation uint64
	replica     *Replica
	skew        time.Duration // offset of its clock
	stopped     bool          // has stopped and does not restart
}

type sentMessage struct {
	from Ref
	send Send
}

type targetCall struct {
	from    Ref
	request Request
	ran     bool // the target has run the request
	record  Record
}

// simulation runs four daemons, one shard, one target, one platform object and
// callers that resend to any daemon. Its random source picks each event, so any
// message may be lost, delayed, duplicated or reordered, and a daemon that is
// not picked for a long time is paused.
type simulation struct {
	rng       *rand.Rand
	faults    ruleFaults
	now       time.Time
	nodes     []*simNode
	shard     Shard
	proposals []Shard
	messages  []sentMessage
	calls     []targetCall
	runs      map[string]int    // runs at the target, by key
	reported  map[string]Record // last certain outcome that a caller received, by key
	keys      []string
	log       []string
	restarts  int
	recorder  *trace.Recorder // nil without tracing
	faultFree bool            // no faults; daemons restart only after they have handed over
	token     uint64
	tokenKeys map[uint64]string // key of each Ask, by its token
	violation string
}

var simLimits = Limits{
	Retention: time.Hour, Skew: 200 * time.Millisecond, GrantWait: 100 * time.Millisecond,
	Resend: 20 * time.Millisecond, CopyWait: 40 * time.Millisecond, RetryAfter: time.Millisecond,
}

const simNodes = 4

func newSimulation(seed uint64, f ruleFaults, limits Limits) *simulation {
	return newTracedSimulation(seed, f, limits, nil)
}

func newTracedSimulation(seed uint64, f ruleFaults, limits Limits, recorder *trace.Recorder) *simulation {
	s := &simulation{
		recorder: recorder, rng: rand.New(rand.NewPCG(seed, 1)), faults: f, now: time.UnixMilli(1_700_000_000_000),
		runs: make(map[string]int), reported: make(map[string]Record), tokenKeys: make(map[uint64]string),
	}
	for i := range simNodes {
		n := &simNode{incarnation: 1, skew: time.Duration(s.rng.Int64N(int64(limits.Skew))) - limits.Skew/2}
		s.nodes = append(s.nodes, n)
		s.startReplica(i, limits)
	}
	s.shard = Shard{Epoch: 1, Floor: 1, First: s.ref(0), Second: s.ref(1), Third: s.ref(2)}
	for i := range s.nodes {
		s.step(i, Assigned{s.shard})
	}
	return s
}

// startReplica starts a daemon without records.
func (s *simulation) startReplica(i int, limits Limits) {
	s.nodes[i].replica = NewReplica(s.ref(i), limits)
	key := fmt.Sprint(s.ref(i).ID, s.ref(i).Incarnation)
	s.recorder.RecordInit(TraceSlice, key, s.now, replicaArgs{s.ref(i), limits})
}

func (s *simulation) ref(i int) Ref {
	return Ref{ID: string(rune('A' + i)), Incarnation: s.nodes[i].incarnation}
}

// index returns the index of a daemon in nodes, and whether r is its current
// incarnation.
func (s *simulation) index(r Ref) (int, bool) {
	i := int(r.ID[0] - 'A')
	return i, s.nodes[i].incarnation == r.Incarnation && !s.nodes[i].stopped
}

func (s *simulation) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf(format, args...))
}

// step applies one input to one daemon, with the faults of the simulation.
func (s *simulation) step(i int, in Input) {
	n := s.nodes[i]
	r := n.replica
	if a, ok := in.(Assigned); ok && s.faults.ignoreFloor {
		a.Shard.Floor = 1
		in = a
	}
	handedOver := r.handedOver
	if _, ok := in.(Claim); ok && s.faults.twoGrants {
		r.grantee = Ref{}
	}
	epoch := r.shard.Epoch
	decisions := r.Step(s.now.Add(n.skew), in)
	trace.Record(s.recorder, TraceSlice, fmt.Sprint(r.self.ID, r.self.Incarnation), s.now.Add(n.skew), in, decisions)
	if m, ok := in.(Intent); ok && s.faults.ackAfterSeal {
		decisions = []Decision{Send{m.From, IntentAck{Epoch: m.Epoch, From: r.self, Key: m.Key}}}
	}
	if _, ok := in.(Tick); ok && s.faults.expireEarly {
		r.expireOlder(s.now, r.limits.Retention/4)
	}
	if s.faults.actAfterHandOver && r.shard.Epoch == epoch && r.handedOver && !handedOver {
		r.handedOver = false
	}
	for _, d := range decisions {
		s.execute(i, d)
	}
}

func (r *Replica) expireOlder(now time.Time, age time.Duration) {
	for key, e := range r.entries {
		if now.Sub(e.issued) > age {
			delete(r.entries, key)
		}
	}
}

func (s *simulation) execute(i int, d Decision) {
	switch d := d.(type) {
	case Send:
		s.messages = append(s.messages, sentMessage{s.ref(i), d})
		if in, ok := d.Message.(Intent); ok && s.faults.dispatchUnrecorded {
			s.step(i, IntentAck{Shard: in.Shard, Epoch: in.Epoch, From: d.To, Key: in.Key})
		}
	case Dispatch:
		s.logf("%s dispatches %s", s.ref(i).ID, d.Request.Key)
		s.calls = append(s.calls, targetCall{from: s.ref(i), request: d.Request})
	case Propose:
		s.proposals = append(s.proposals, d.Shard)
	case Reply:
		s.checkReply(s.tokenKeys[d.Token], d.Answer)
	}
}

// checkReply compares an answer to a caller with the earlier answers for the
// key and with the runs at the target.
func (s *simulation) checkReply(key string, a Answer) {
	if a.NotOwner {
		return
	}
	outcome := a.Record.Outcome
	s.logf("reply for %s: %s %q", key, outcome, a.Record.Answer)
	previous, known := s.reported[key]
	switch {
	case outcome == failure.Unknown:
		return
	case known && previous.Outcome != outcome, known && previous.Answer != a.Record.Answer:
		s.failf("callers received two outcomes for key %s: %v, then %v, want the same", key, previous, a.Record)
	case outcome == failure.Ran && s.runs[key] == 0:
		s.failf("outcome reported for key %s is ran, want not_run or unknown: the target did not run it", key)
	case outcome == failure.NotRun && s.runs[key] > 0:
		s.failf("outcome reported for key %s is not_run, want ran or unknown: the target ran it", key)
	}
	s.reported[key] = a.Record
}

func (s *simulation) failf(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...) + "\n" + strings.Join(s.log, "\n")
	}
}

func (s *simulation) run(steps int) string {
	for i := 0; i < steps && s.violation == ""; i++ {
		s.now = s.now.Add(time.Duration(s.rng.IntN(15)) * time.Millisecond)
		s.randomEvent()
	}
	return s.violation
}

func (s *simulation) randomEvent() {
	i := s.rng.IntN(len(s.nodes))
	roll := s.rng.IntN(100)
	if s.faultFree && roll >= 88 {
		roll = []int{84, 96, 98}[roll%3]
	}
	switch {
	case roll < 45:
		s.deliver()
	case roll < 60:
		s.advanceCall()
	case roll < 72:
		s.sendAsk(i)
	case roll < 78:
		s.applyProposal()
	case roll < 84:
		s.updateAssignment(i)
	case roll < 88:
		s.step(i, Tick{})
	case roll < 94:
		s.reportReach(i)
	case roll < 96:
		s.reportLost(i)
	case roll < 97:
		s.restart(i)
	case roll < 98:
		s.step(i, Repair{})
	case roll < 99:
		s.step(i, Leave{})
	default:
		s.proposeReplacement()
	}
}

// deliver picks one message, usually a recent one. The message is lost,
// delivered, or delivered and kept as a duplicate.
func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	k := s.rng.IntN(len(s.messages))
	if s.rng.IntN(3) > 0 {
		k = len(s.messages) - 1 - s.rng.IntN(min(4, len(s.messages)))
	}
	message := s.messages[k]
	roll := s.rng.IntN(10)
	if roll < 8 {
		s.messages = append(s.messages[:k:k], s.messages[k+1:]...)
	}
	if roll == 0 && !s.faultFree {
		return
	}
	if i, current := s.index(message.send.To); current || s.faults.sameIncarnation {
		s.logf("%s -> %s %T %+v", message.from.ID, message.send.To.ID, message.send.Message, message.send.Message)
		s.step(i, message.send.Message)
	}
}

// advanceCall picks a call. If the target has not run it yet, advanceCall runs it
// or reports that it never reached the target. Otherwise it reports the outcome.
func (s *simulation) advanceCall() {
	if len(s.calls) == 0 {
		return
	}
	k := s.rng.IntN(len(s.calls))
	c := &s.calls[k]
	key := c.request.Key
	if !c.ran && s.rng.IntN(5) > 0 {
		s.runs[key]++
		s.logf("target runs %s", key)
		c.ran = true
		c.record = Record{Key: key, Outcome: failure.Ran, Answer: fmt.Sprintf("run %d", s.runs[key])}
		if s.runs[key] > 1 {
			s.failf("the target ran key %s twice, want at most once", key)
		}
		if s.reported[key].Outcome == failure.NotRun {
			s.failf("the target ran key %s after a caller received not_run, want no run", key)
		}
		return
	}
	done := *c
	s.calls = append(s.calls[:k:k], s.calls[k+1:]...)
	switch {
	case !done.ran:
		done.record = Record{Key: key, Outcome: failure.NotRun}
	case s.faultFree:
	case s.rng.IntN(4) == 0 && s.faults.resetAsNotRun:
		done.record = Record{Key: key, Outcome: failure.NotRun}
	case s.rng.IntN(4) == 0:
		done.record = Record{Key: key, Outcome: failure.Unknown}
	}
	if i, current := s.index(done.from); current {
		s.step(i, Result{done.record})
	}
}

const simKeys = 3 // maximum number of keys in one simulation

// sendAsk sends a caller's request with a new or a used key to daemon i.
func (s *simulation) sendAsk(i int) {
	if s.nodes[i].stopped {
		return
	}
	if len(s.keys) < simKeys && s.rng.IntN(3) == 0 {
		epoch := s.shard.Epoch
		if knownEpoch := s.nodes[s.rng.IntN(len(s.nodes))].replica.shard.Epoch; knownEpoch > 0 {
			epoch = knownEpoch
		}
		s.keys = append(s.keys, FormatKey(s.now.Add(s.nodes[i].skew), epoch, fmt.Sprint("k", len(s.keys))))
	}
	if len(s.keys) == 0 {
		return
	}
	key := s.keys[s.rng.IntN(len(s.keys))]
	s.token++
	s.tokenKeys[s.token] = key
	wait := time.Duration(s.rng.IntN(100)) * time.Millisecond
	s.logf("caller sends %s to %s", key, s.ref(i).ID)
	s.step(i, Ask{Token: s.token, Request: Request{Key: key, Deadline: wait}, FirstLost: s.rng.IntN(2) == 0})
}

// applyProposal applies one proposal for the next epoch, however old the
// proposal is. The proposer may have ended and may never learn the result.
func (s *simulation) applyProposal() {
	var applicable []Shard
	for _, p := range s.proposals {
		if p.Epoch == s.shard.Epoch+1 {
			applicable = append(applicable, p)
		}
	}
	s.proposals = applicable
	if len(applicable) == 0 {
		return
	}
	shard := applicable[s.rng.IntN(len(applicable))]
	members := []Ref{shard.First}
	for len(members) < 3 {
		i := s.rng.IntN(len(s.nodes))
		if !s.nodes[i].stopped && !containsDaemon(members, s.ref(i)) {
			members = append(members, s.ref(i))
		}
	}
	shard.Second, shard.Third = members[1], members[2]
	s.shard = shard
	s.logf("epoch %d: %s %s %s, floor %d", shard.Epoch, shard.First.ID, shard.Second.ID, shard.Third.ID, shard.Floor)
}

// updateAssignment gives daemon i the current assignment.
func (s *simulation) updateAssignment(i int) {
	if !s.nodes[i].stopped {
		s.step(i, Assigned{s.shard})
	}
}

func (s *simulation) reportReach(i int) {
	r := s.nodes[i].replica
	if r.shard.Epoch == 0 || !r.shard.inPair(r.self) {
		return
	}
	s.logf("%s receives a probe result of its partner: %v", r.self.ID, false)
	s.step(i, Reach{Peer: r.shard.partner(r.self), Silent: s.rng.IntN(3) > 0})
	if s.faults.replaceLiveSecond && r.isFirst() {
		s.proposals = append(s.proposals, Shard{Epoch: r.shard.Epoch + 1, First: r.self, Floor: r.shard.Floor})
	}
}

// reportLost reports to daemon i each daemon of the pair whose incarnation has
// ended.
func (s *simulation) reportLost(i int) {
	r := s.nodes[i].replica
	if r.shard.Epoch == 0 {
		return
	}
	for _, ref := range []Ref{r.shard.First, r.shard.Second} {
		if _, current := s.index(ref); !current {
			s.step(i, Lost{ref})
		}
	}
}
