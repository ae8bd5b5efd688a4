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

// replica returns the replica of a shard and creates it if needed. It runs on
// the control loop.
func (p *PairService) replica(now time.Time, n int) *Replica {
	r := p.replicas[n]
	if r == nil {
		r = NewReplica(p.self, p.limits)
		p.replicas[n] = r
		p.Trace.RecordInit(TraceSlice, fmt.Sprint(n), now, replicaArgs{p.self, p.limits})
		if m := p.shards.Load(); m != nil {
			p.step(now, n, Assigned{m.Shards[n]})
		}
	}
	return r
}

// step applies one input to a replica and carries out its decisions. It runs on
// the control loop.
func (p *PairService) step(now time.Time, n int, in Input) {
	r := p.replica(now, n)
	sealed, alone := r.sealed, r.alone
	decisions := r.Step(now, in)
	trace.Record(p.Trace, TraceSlice, fmt.Sprint(n), now, in, decisions)
	if r.sealed && !sealed || r.alone && !alone {
		p.moves.continuedAlone++
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
		if ch := p.waiters[d.Token]; ch != nil {
			delete(p.waiters, d.Token)
			ch <- d.Answer
		}
	case Propose:
		if old, ok := p.proposals[n]; !ok || old != d.Shard {
			p.proposals[n] = d.Shard
			p.wakeWriter()
		}
	}
}

// moveCounts counts the changes of shards between two ticks.
type moveCounts struct {
	continuedAlone int // shards that this daemon continued without its partner
	newEpochs      int // new epochs with this daemon as the first of the pair
	withoutHistory int // number of newEpochs that begin without all older records
}

// reportMoves records at most one event of each kind for the shards of a tick.
func (p *PairService) reportMoves() {
	if p.moves.continuedAlone > 0 {
		p.Events.Record(event.ShardSealed, "", event.F("shards", fmt.Sprint(p.moves.continuedAlone)))
	}
	if p.moves.newEpochs > 0 {
		p.Events.Record(event.ShardMoved, "", event.F("shards", fmt.Sprint(p.moves.newEpochs)), event.F("unsure", fmt.Sprint(p.moves.withoutHistory)))
	}
	p.moves = moveCounts{}
}

func (p *PairService) wakeWriter() {
	select {
	case p.writerWake <- struct{}{}:
	default:
	}
}

// send sends a message once. A later tick resends it if it is lost.
func (p *PairService) send(d Send) {
	ctx, cancel := context.WithTimeout(p.ctx, sendTimeout)
	defer cancel()
	_, _, _, kind := messageHeader(d.Message)
	_ = p.Transport.Send(ctx, d.To.Address, kind, d.Message)
}

func (p *PairService) dispatch(n int, r Request) {
	ctx, cancel := context.WithTimeout(p.ctx, dispatchTimeout)
	defer cancel()
	record := p.Dispatcher.Dispatch(ctx, r)
	record.Key = r.Key
	_ = p.Loop.Post(func(now time.Time) { p.step(now, n, Result{record}) })
}

// registerMessage registers the handler of one message between the daemons of a
// shard.
func registerMessage[M Input](p *PairService, kind peer.Kind) {
	peer.HandleTyped(p.Transport, kind, func(_ context.Context, _ peer.Identity, m M) (any, error) {
		return nil, p.Loop.Post(func(now time.Time) { p.receive(now, m) })
	})
}

func (p *PairService) registerMessages() {
	registerMessage[Intent](p, kindIntent)
	registerMessage[IntentAck](p, kindIntentAck)
	registerMessage[Sealed](p, kindSealed)
	registerMessage[Copy](p, kindCopy)
	registerMessage[CopyAck](p, kindCopyAck)
	registerMessage[Sync](p, kindSync)
	registerMessage[SyncAck](p, kindSyncAck)
	registerMessage[Claim](p, kindClaim)
	registerMessage[Granted](p, kindGranted)
	registerMessage[Renew](p, kindRenew)
	registerMessage[HandOver](p, kindHandOver)
	registerMessage[Retire](p, kindRetire)
}

// receive applies a message. If the epoch of the message is newer than the known
// one, the message is dropped and the assignment is fetched; the sender resends
// the message.
func (p *PairService) receive(now time.Time, m Input) {
	n, epoch, from, _ := messageHeader(m)
	switch m := m.(type) {
	case Claim:
		p.applyShards(now, []Shard{m.Shard})
	case Sealed:
		p.applyShards(now, []Shard{m.Shard})
	}
	current := p.shards.Load()
	if current == nil || n < 0 || n >= len(current.Shards) {
		return
	}
	if epoch > current.Shards[n].Epoch {
		p.fetchShard(n, from)
		return
	}
	p.step(now, n, m)
}
