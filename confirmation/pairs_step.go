package confirmation

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/trace"
)

func sortedNumbers(m map[int]*Replica) []int {
	out := make([]int, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Ints(out)
	return out
}

// replica returns the replica of a shard. It runs on the loop.
func (p *PairService) replica(now time.Time, n int) *Replica {
	r := p.replicas[n]
	if r == nil {
		r = NewReplica(p.self, p.limits)
		p.replicas[n] = r
		p.Trace.RecordInit(TraceSlice, fmt.Sprint(n), now, made{p.self, p.limits})
		if m := p.shards.Load(); m != nil {
			p.step(now, n, Assigned{m.Shards[n]})
		}
	}
	return r
}

// step gives one input to a replica and does what it decides. It runs on the
// loop.
func (p *PairService) step(now time.Time, n int, in Input) {
	r := p.replica(now, n)
	sealed, alone := r.sealed, r.alone
	decisions := r.Step(now, in)
	trace.Record(p.Trace, TraceSlice, fmt.Sprint(n), now, in, decisions)
	if r.sealed && !sealed || r.alone && !alone {
		p.moved.alone++
	}
	for _, d := range decisions {
		p.execute(n, d)
	}
}

func (p *PairService) execute(n int, d Decision) {
	switch d := d.(type) {
	case Send:
		p.spawn(func() { p.send(d) })
	case Dispatch:
		p.spawn(func() { p.dispatch(n, d.Request) })
	case Reply:
		if ch := p.waiting[d.Token]; ch != nil {
			delete(p.waiting, d.Token)
			ch <- d.Answer
		}
	case Propose:
		if old, ok := p.proposals[n]; !ok || old != d.Shard {
			p.proposals[n] = d.Shard
			p.wakeWriter()
		}
	}
}

// moves counts what happened to shards between two ticks.
type moves struct {
	alone  int // shards this daemon went on with alone
	count  int // new epochs with this daemon as first
	unsure int // of these, epochs that don't vouch for older keys
}

// reportMoves records one event for all shards of a tick.
func (p *PairService) reportMoves() {
	if p.moved.alone > 0 {
		p.Events.Record(event.ShardSealed, "", event.F("shards", fmt.Sprint(p.moved.alone)))
	}
	if p.moved.count > 0 {
		p.Events.Record(event.ShardMoved, "", event.F("shards", fmt.Sprint(p.moved.count)), event.F("unsure", fmt.Sprint(p.moved.unsure)))
	}
	p.moved = moves{}
}

func (p *PairService) wakeWriter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// send sends a message once; what is lost is sent again by a later tick.
func (p *PairService) send(d Send) {
	ctx, cancel := context.WithTimeout(p.ctx, sendTimeout)
	defer cancel()
	_, _, _, kind := head(d.Message)
	_ = p.Transport.Send(ctx, d.To.Address, kind, d.Message)
}

func (p *PairService) dispatch(n int, r Request) {
	ctx, cancel := context.WithTimeout(p.ctx, dispatchTimeout)
	defer cancel()
	record := p.Dispatcher.Dispatch(ctx, r)
	record.Key = r.Key
	_ = p.Loop.Post(func(now time.Time) { p.step(now, n, Result{record}) })
}

// on registers the handler of one message between the daemons of a shard.
func on[M Input](p *PairService, kind peer.Kind) {
	peer.HandleTyped(p.Transport, kind, func(_ context.Context, _ peer.Identity, m M) (any, error) {
		return nil, p.Loop.Post(func(now time.Time) { p.receive(now, m) })
	})
}

func (p *PairService) registerMessages() {
	on[Intent](p, kindIntent)
	on[IntentAck](p, kindIntentAck)
	on[Sealed](p, kindSealed)
	on[Copy](p, kindCopy)
	on[CopyAck](p, kindCopyAck)
	on[Sync](p, kindSync)
	on[SyncAck](p, kindSyncAck)
	on[Claim](p, kindClaim)
	on[Granted](p, kindGranted)
	on[Renew](p, kindRenew)
	on[HandOver](p, kindHandOver)
	on[Retire](p, kindRetire)
}

// receive takes a message. One of an epoch that is not known here is dropped,
// and the epoch asked for: the message will be sent again.
func (p *PairService) receive(now time.Time, m Input) {
	n, epoch, from, _ := head(m)
	switch m := m.(type) {
	case Claim:
		p.learn(now, []Shard{m.Shard})
	case Sealed:
		p.learn(now, []Shard{m.Shard})
	}
	all := p.shards.Load()
	if all == nil || n < 0 || n >= len(all.Shards) {
		return
	}
	if epoch > all.Shards[n].Epoch {
		p.fetch(n, from)
		return
	}
	p.step(now, n, m)
}
