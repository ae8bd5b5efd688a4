package confirmation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/trace"
)

// faults break one rule each; the exploration must catch every one that a
// mutant sets.
type faults struct {
	forgetEarly        bool // records are forgotten before their keys are refused
	ackAfterSeal       bool // the second acknowledges all intents, also after it took over
	sameIncarnation    bool // a restarted daemon passes for its former run
	retryAfterReset    bool // a call whose connection broke passes for not sent
	onAfterHandOver    bool // the first goes on after it handed over
	noUnknown          bool // a new epoch vouches for keys it has no record of
	replacedNotGone    bool // the second is replaced though it may still take over
	twoGrants          bool // the third grants both
	dispatchUnrecorded bool // the first dispatches without the second
}

type simNode struct {
	inc     uint64
	replica *Replica
	skew    time.Duration
	gone    bool // stopped as planned
}

type flight struct {
	from Ref
	m    Send
}

type call struct {
	from    Ref
	request Request
	ran     bool
	record  Record
}

// world is a small site: four daemons, one shard, one target, one platform
// object and callers that resend anywhere. Its random source picks what happens
// next, so any message may be lost, late, doubled or overtaken, and a daemon
// that is not picked for long is paused.
type world struct {
	rnd       *rand.Rand
	faults    faults
	now       time.Time
	nodes     []*simNode
	shard     Shard
	proposals []Shard
	messages  []flight
	calls     []call
	ledger    map[string]int
	told      map[string]Record
	keys      []string
	log       []string
	crashes   int
	tracing   *trace.Recorder // nil when off
	calm      bool            // nothing fails; daemons stop as planned
	token     uint64
	asked     map[uint64]string
	violation string
}

var simLimits = Limits{
	Retention: time.Hour, Skew: 200 * time.Millisecond, GrantWait: 100 * time.Millisecond,
	Resend: 20 * time.Millisecond, CopyWait: 40 * time.Millisecond, RetryAfter: time.Millisecond,
}

const simNodes = 4

func newWorld(seed uint64, f faults, limits Limits) *world {
	return newTracedWorld(seed, f, limits, nil)
}

func newTracedWorld(seed uint64, f faults, limits Limits, tracing *trace.Recorder) *world {
	w := &world{
		tracing: tracing, rnd: rand.New(rand.NewPCG(seed, 1)), faults: f, now: time.UnixMilli(1_700_000_000_000),
		ledger: make(map[string]int), told: make(map[string]Record), asked: make(map[uint64]string),
	}
	for i := range simNodes {
		n := &simNode{inc: 1, skew: time.Duration(w.rnd.Int64N(int64(limits.Skew))) - limits.Skew/2}
		w.nodes = append(w.nodes, n)
		w.begin(i, limits)
	}
	w.shard = Shard{Epoch: 1, Floor: 1, First: w.ref(0), Second: w.ref(1), Third: w.ref(2)}
	for i := range w.nodes {
		w.step(i, Assigned{w.shard})
	}
	return w
}

// begin starts a daemon with no memory.
func (w *world) begin(i int, limits Limits) {
	w.nodes[i].replica = NewReplica(w.ref(i), limits)
	key := fmt.Sprint(w.ref(i).ID, w.ref(i).Incarnation)
	w.tracing.RecordInit(TraceSlice, key, w.now, made{w.ref(i), limits})
}

func (w *world) ref(i int) Ref { return Ref{ID: string(rune('A' + i)), Incarnation: w.nodes[i].inc} }

func (w *world) index(r Ref) (int, bool) {
	i := int(r.ID[0] - 'A')
	return i, w.nodes[i].inc == r.Incarnation && !w.nodes[i].gone
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

// step gives one input to one daemon, through the rule that is broken.
func (w *world) step(i int, in Input) {
	n := w.nodes[i]
	r := n.replica
	if a, ok := in.(Assigned); ok && w.faults.noUnknown {
		a.Shard.Floor = 1
		in = a
	}
	handed := r.handed
	if _, ok := in.(Claim); ok && w.faults.twoGrants {
		r.granted = Ref{}
	}
	epoch := r.shard.Epoch
	decisions := r.Step(w.now.Add(n.skew), in)
	trace.Record(w.tracing, TraceSlice, fmt.Sprint(r.self.ID, r.self.Incarnation), w.now.Add(n.skew), in, decisions)
	if m, ok := in.(Intent); ok && w.faults.ackAfterSeal {
		decisions = []Decision{Send{m.From, IntentAck{Epoch: m.Epoch, From: r.self, Key: m.Key}}}
	}
	if _, ok := in.(Tick); ok && w.faults.forgetEarly {
		r.forgetOlder(w.now, r.limits.Retention/4)
	}
	if w.faults.onAfterHandOver && r.shard.Epoch == epoch && r.handed && !handed {
		r.handed = false
	}
	for _, d := range decisions {
		w.decide(i, d)
	}
}

func (r *Replica) forgetOlder(now time.Time, age time.Duration) {
	for key, e := range r.entries {
		if now.Sub(e.issued) > age {
			delete(r.entries, key)
		}
	}
}

func (w *world) decide(i int, d Decision) {
	switch d := d.(type) {
	case Send:
		w.messages = append(w.messages, flight{w.ref(i), d})
		if in, ok := d.Message.(Intent); ok && w.faults.dispatchUnrecorded {
			w.step(i, IntentAck{Shard: in.Shard, Epoch: in.Epoch, From: d.To, Key: in.Key})
		}
	case Dispatch:
		w.note("%s dispatches %s", w.ref(i).ID, d.Request.Key)
		w.calls = append(w.calls, call{from: w.ref(i), request: d.Request})
	case Propose:
		w.proposals = append(w.proposals, d.Shard)
	case Reply:
		w.reply(w.asked[d.Token], d.Answer)
	}
}

// reply checks what a caller is told against what was told before.
func (w *world) reply(key string, a Answer) {
	if a.NotOwner {
		return
	}
	o := a.Record.Outcome
	w.note("told %s %s %q", key, o, a.Record.Answer)
	before, any := w.told[key]
	switch {
	case o == failure.Unknown:
		return
	case any && before.Outcome != o, any && before.Answer != a.Record.Answer:
		w.fail("two outcomes for %s: %v and %v", key, before, a.Record)
	case o == failure.Ran && w.ledger[key] == 0:
		w.fail("ran told of %s, which did not run", key)
	case o == failure.NotRun && w.ledger[key] > 0:
		w.fail("not_run told of %s, which ran", key)
	}
	w.told[key] = a.Record
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...) + "\n" + strings.Join(w.log, "\n")
	}
}

func (w *world) run(steps int) string {
	for i := 0; i < steps && w.violation == ""; i++ {
		w.now = w.now.Add(time.Duration(w.rnd.IntN(15)) * time.Millisecond)
		w.act()
	}
	return w.violation
}

func (w *world) act() {
	i := w.rnd.IntN(len(w.nodes))
	p := w.rnd.IntN(100)
	if w.calm && p >= 88 {
		p = []int{84, 96, 98}[p%3]
	}
	switch {
	case p < 45:
		w.deliver()
	case p < 60:
		w.target()
	case p < 72:
		w.ask(i)
	case p < 78:
		w.write()
	case p < 84:
		w.tell(i)
	case p < 88:
		w.step(i, Tick{})
	case p < 94:
		w.suspect(i)
	case p < 96:
		w.lost(i)
	case p < 97:
		w.crash(i)
	case p < 98:
		w.step(i, Repair{})
	case p < 99:
		w.step(i, Leave{})
	default:
		w.replaceAll()
	}
}

// deliver picks one message: the newest more often, any of the old ones too.
// It is lost, delivered, or delivered and kept to be doubled.
func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	k := w.rnd.IntN(len(w.messages))
	if w.rnd.IntN(3) > 0 {
		k = len(w.messages) - 1 - w.rnd.IntN(min(4, len(w.messages)))
	}
	f := w.messages[k]
	fate := w.rnd.IntN(10)
	if fate < 8 {
		w.messages = append(w.messages[:k:k], w.messages[k+1:]...)
	}
	if fate == 0 && !w.calm {
		return
	}
	if i, same := w.index(f.m.To); same || w.faults.sameIncarnation {
		w.note("%s -> %s %T %+v", f.from.ID, f.m.To.ID, f.m.Message, f.m.Message)
		w.step(i, f.m.Message)
	}
}

// target runs a call, or answers one that ran, or fails one that never came.
func (w *world) target() {
	if len(w.calls) == 0 {
		return
	}
	k := w.rnd.IntN(len(w.calls))
	c := &w.calls[k]
	key := c.request.Key
	if !c.ran && w.rnd.IntN(5) > 0 {
		w.ledger[key]++
		w.note("target runs %s", key)
		c.ran = true
		c.record = Record{Key: key, Outcome: failure.Ran, Answer: fmt.Sprintf("run %d", w.ledger[key])}
		if w.ledger[key] > 1 {
			w.fail("%s ran twice", key)
		}
		if w.told[key].Outcome == failure.NotRun {
			w.fail("%s ran after not_run was told", key)
		}
		return
	}
	done := *c
	w.calls = append(w.calls[:k:k], w.calls[k+1:]...)
	switch {
	case !done.ran:
		done.record = Record{Key: key, Outcome: failure.NotRun}
	case w.calm:
	case w.rnd.IntN(4) == 0 && w.faults.retryAfterReset:
		done.record = Record{Key: key, Outcome: failure.NotRun}
	case w.rnd.IntN(4) == 0:
		done.record = Record{Key: key, Outcome: failure.Unknown}
	}
	if i, same := w.index(done.from); same {
		w.step(i, Result{done.record})
	}
}

const simKeys = 3

// ask lets a caller ask with an old or a new key at any daemon.
func (w *world) ask(i int) {
	if w.nodes[i].gone {
		return
	}
	if len(w.keys) < simKeys && w.rnd.IntN(3) == 0 {
		epoch := w.shard.Epoch
		if seen := w.nodes[w.rnd.IntN(len(w.nodes))].replica.shard.Epoch; seen > 0 {
			epoch = seen
		}
		w.keys = append(w.keys, FormatKey(w.now.Add(w.nodes[i].skew), epoch, fmt.Sprint("k", len(w.keys))))
	}
	if len(w.keys) == 0 {
		return
	}
	key := w.keys[w.rnd.IntN(len(w.keys))]
	w.token++
	w.asked[w.token] = key
	wait := time.Duration(w.rnd.IntN(100)) * time.Millisecond
	w.note("ask %s at %s", key, w.ref(i).ID)
	w.step(i, Ask{Token: w.token, Request: Request{Key: key, Deadline: wait}, FirstLost: w.rnd.IntN(2) == 0})
}

// write applies one proposal, however old, if its epoch is the next one. The
// proposer may never hear of it, and may be gone.
func (w *world) write() {
	var next []Shard
	for _, p := range w.proposals {
		if p.Epoch == w.shard.Epoch+1 {
			next = append(next, p)
		}
	}
	w.proposals = next
	if len(next) == 0 {
		return
	}
	s := next[w.rnd.IntN(len(next))]
	have := []Ref{s.First}
	for len(have) < 3 {
		i := w.rnd.IntN(len(w.nodes))
		if !w.nodes[i].gone && !holds(have, w.ref(i)) {
			have = append(have, w.ref(i))
		}
	}
	s.Second, s.Third = have[1], have[2]
	w.shard = s
	w.note("epoch %d: %s %s %s, floor %d", s.Epoch, s.First.ID, s.Second.ID, s.Third.ID, s.Floor)
}

// tell lets a daemon learn the assignment.
func (w *world) tell(i int) {
	if !w.nodes[i].gone {
		w.step(i, Assigned{w.shard})
	}
}

func (w *world) suspect(i int) {
	r := w.nodes[i].replica
	if r.shard.Epoch == 0 || !r.shard.has(r.self) {
		return
	}
	w.note("%s hears from its partner: %v", r.self.ID, false)
	w.step(i, Reach{Peer: r.shard.partner(r.self), Silent: w.rnd.IntN(3) > 0})
	if w.faults.replacedNotGone && r.isFirst() {
		w.proposals = append(w.proposals, Shard{Epoch: r.shard.Epoch + 1, First: r.self, Floor: r.shard.Floor})
	}
}

// lost tells a daemon of a run that has ended.
func (w *world) lost(i int) {
	r := w.nodes[i].replica
	if r.shard.Epoch == 0 {
		return
	}
	for _, p := range []Ref{r.shard.First, r.shard.Second} {
		if _, same := w.index(p); !same {
			w.step(i, Lost{p})
		}
	}
}
