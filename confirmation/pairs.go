package confirmation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/trace"
)

// Periods and bounds of PairService. For resendWait, copyWait, grantWait and
// retryAfter see Limits.
const (
	tickPeriod        = 50 * time.Millisecond  // tick period of a shard whose Replica is not idle
	idleTickPeriod    = time.Second            // tick period of any other shard
	probePeriod       = 200 * time.Millisecond // probe period after a failed probe, or while a shard awaits an answer of the daemon
	idleProbePeriod   = time.Second            // probe period otherwise
	probeTimeout      = 300 * time.Millisecond
	silentAfterProbes = 2 // failed probes in a row after which a daemon is considered silent
	resendWait        = 150 * time.Millisecond
	copyWait          = 200 * time.Millisecond
	grantWait         = 500 * time.Millisecond
	retryAfter        = time.Second
	dispatchTimeout   = 30 * time.Second // longest call to a target
	sendTimeout       = time.Second
	mapReadPeriod     = time.Second // shortest interval between two searches for newer assignments
)

// Config connects PairService to the rest of a daemon.
type Config struct {
	Self       peer.Identity
	Settings   Settings
	Loop       *control.Loop
	Transport  *peer.Transport
	Store      objectstore.Store
	View       func() *membership.View
	Dispatcher Dispatcher
	Events     *event.Recorder
	Trace      *trace.Recorder
}

// PairService is the Service that runs on pairs of daemons. The control loop
// owns its control state; callers read the published map and send requests to
// the loop.
type PairService struct {
	Config
	self        Ref
	limits      Limits
	ctx         context.Context
	cancel      context.CancelFunc
	mu          sync.Mutex // guards stopped
	stopped     bool
	wg          sync.WaitGroup
	shards      atomic.Pointer[ShardMap]
	issueShards atomic.Pointer[[]Shard] // shards for which this daemon issues keys
	leaving     atomic.Bool
	mapReads    *rate.Limiter
	writerWake  chan struct{}

	// Owned by the control loop. Keys of type int are shard numbers. The keys of
	// health are daemon IDs, the keys of waiters are Ask tokens.
	replicas      map[int]*Replica
	waiters       map[uint64]chan Answer
	lastToken     uint64
	health        map[string]*peerHealth
	proposals     map[int]Shard
	fetching      map[int]bool
	unservedSince map[int]time.Time // first request that the pair did not answer
	moves         moveCounts
	lastTick      map[int]time.Time
}

var _ Service = (*PairService)(nil)

// NewPairService returns a service and registers its message handlers. It must
// be called before the transport serves and before the loop runs.
func NewPairService(c Config) *PairService {
	ctx, cancel := context.WithCancel(context.Background())
	p := &PairService{
		Config: c, self: newRef(c.Self), ctx: ctx, cancel: cancel,
		limits: Limits{
			Retention: c.Settings.Retention.Std(), Skew: c.Settings.Skew.Std(), GrantWait: grantWait,
			Resend: resendWait, CopyWait: copyWait, RetryAfter: retryAfter,
		},
		mapReads: rate.NewLimiter(rate.Every(mapReadPeriod), 1), writerWake: make(chan struct{}, 1),
		replicas: make(map[int]*Replica), waiters: make(map[uint64]chan Answer), health: make(map[string]*peerHealth),
		proposals: make(map[int]Shard), fetching: make(map[int]bool), lastTick: make(map[int]time.Time), unservedSince: make(map[int]time.Time),
	}
	p.issueShards.Store(&[]Shard{})
	p.registerQueries()
	p.registerMessages()
	c.Loop.Every(tickPeriod, p.tick)
	return p
}

func newRef(i peer.Identity) Ref {
	return Ref{ID: i.ID, Incarnation: i.Incarnation, Address: i.PeerAddress, Place: i.Place, Region: i.Region}
}

// Run runs the service until ctx ends.
func (p *PairService) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, p.cancel)
	defer stop()
	p.spawn(p.probePeers)
	p.spawn(p.writeProposals)
	<-p.ctx.Done()
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.wg.Wait()
}

// spawn runs fn in a goroutine unless Run is ending.
func (p *PairService) spawn(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		fn()
	}()
}

// tick advances the replicas. It runs on the control loop.
func (p *PairService) tick(now time.Time) {
	var issueShards []Shard
	for _, n := range sortedNumbers(p.replicas) {
		r := p.replicas[n]
		if p.leaving.Load() && !r.leaving {
			p.step(now, n, Leave{})
		}
		if r.Shard().inPair(p.self) && !r.idle() || len(r.pastEntries) > 0 || now.Sub(p.lastTick[n]) >= idleTickPeriod {
			p.lastTick[n] = now
			p.step(now, n, Tick{})
		}
		if r.mayIssue() {
			issueShards = append(issueShards, r.Shard())
		}
	}
	p.issueShards.Store(&issueShards)
	p.reportMoves()
}

// Leave starts the handover of all shards.
func (p *PairService) Leave() { p.leaving.Store(true) }

// CanStop reports whether this leaving daemon may stop: other daemons have taken
// over all its shards, or there is no other daemon that could take one over.
// It also returns true if the control loop does not answer.
func (p *PairService) CanStop(ctx context.Context) bool {
	canStop, err := control.Call(ctx, p.Loop, func(time.Time) bool {
		n := p.remainingDaemons()
		return n == 0 || p.allCanStop(n > 1)
	})
	return err != nil || canStop
}

func (p *PairService) allCanStop(spareDaemon bool) bool {
	for _, r := range p.replicas {
		if !r.CanStop(spareDaemon) {
			return false
		}
	}
	return true
}

// remainingDaemons counts the other live daemons that are not leaving.
func (p *PairService) remainingDaemons() int {
	var n int
	for _, m := range p.View().Live() {
		if m.ID != p.self.ID {
			n++
		}
	}
	return n
}
