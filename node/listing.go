package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Periods of reading the VM list.
const (
	// vmPollPeriod is how often a reader reads the VM list.
	vmPollPeriod = time.Second
	// vmPollMax bounds the pause of a reader after failed reads.
	vmPollMax = 5 * time.Second
	// listingPollPeriod is how often other daemons ask a reader for news.
	listingPollPeriod = 2 * time.Second
	// readerFor is how long a daemon reads on after it was last asked for news.
	readerFor = 10 * time.Second
	// newsFresh is the age of news beyond which another reader is asked.
	newsFresh = 3 * time.Second
	// ownReadEvery is the time between own reads of a daemon that no reader
	// answers, and fleetReads the number of such reads a second in the fleet.
	ownReadEvery = 2 * time.Second
	fleetReads   = 20
)

// RoleLabel marks entry VMs in the VM list.
const RoleLabel = "role"

// EntryRole is the RoleLabel value of VMs that run a daemon.
const EntryRole = "entry"

// listingReader keeps the VM list known here: on a few daemons by reading it,
// on all others by asking one of those.
type listingReader struct {
	n      *Node
	budget *rate.Limiter // of own reads without a reader

	mu        sync.Mutex
	listing   *membership.VMListTracker
	readAt    time.Time // last answer of the platform
	asked     time.Time // last time another daemon asked
	alone     time.Time // last time that no reader answered
	told      int64     // number of the own listing's news that the machine has
	source    string    // reader that told the last news
	readerRun uint64    // its incarnation
	seq       int64     // number of its news that the machine has
}

func (l *listingReader) init(n *Node) {
	l.n, l.listing = n, membership.NewVMListTracker()
	l.budget = rate.NewLimiter(rate.Every(ownReadEvery), 1)
}

// listingRequest asks for news after a number of a reader's run.
type listingRequest struct {
	Run uint64 `msgpack:"r"`
	Seq int64  `msgpack:"s"`
}

type listingReply struct {
	Run     uint64         `msgpack:"r"`
	Seq     int64          `msgpack:"s"`
	Age     time.Duration  `msgpack:"a"` // of the reader's last read
	News    membership.VMs `msgpack:"n"`
	Version int64          `msgpack:"v"` // configuration in force there
}

// never is the age of news that no read brought.
const never = 24 * time.Hour

func (l *listingReader) serve(_ context.Context, _ peer.Identity, req listingRequest) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = time.Now()
	reply := listingReply{Run: l.n.self.Incarnation, Age: l.age(), Version: l.n.snapshot.Load().Version}
	if reply.Age >= never {
		return reply, nil
	}
	if req.Run != reply.Run {
		req.Seq = 0
	}
	reply.Seq, reply.News = l.listing.Seq(), l.listing.ChangesSince(req.Seq)
	return reply, nil
}

func (l *listingReader) age() time.Duration {
	if l.readAt.IsZero() {
		return never
	}
	return min(time.Since(l.readAt), never)
}

// reading tells whether this daemon reads for others.
func (l *listingReader) reading() bool {
	if readers := l.n.view.Load().PlatformReaders(); len(readers) > 0 && readers[0].ID == l.n.self.ID {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.asked) < readerFor
}

// watching tells whether this daemon watches the configuration: it reads for
// others, or it reaches no daemon that does.
func (l *listingReader) watching() bool {
	if l.reading() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.alone) < readerFor
}

func (l *listingReader) run(ctx context.Context) {
	backoff := vmPollPeriod
	_ = l.read(ctx)
	for ctx.Err() == nil {
		if !l.reading() {
			l.poll(ctx)
			backoff = vmPollPeriod
			pause.For(ctx, jitter(listingPollPeriod))
			continue
		}
		if l.read(ctx) == nil {
			backoff = vmPollPeriod
		} else {
			backoff = min(2*backoff, vmPollMax)
		}
		pause.For(ctx, jitter(backoff))
	}
}

// jitter returns a time between 3/4 and 5/4 of d, so that daemons don't act in step.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// read reads the VM list from the platform.
func (l *listingReader) read(ctx context.Context) error {
	began := time.Now()
	vms, err := l.n.platform.VMs(ctx)
	l.n.notePlatform(err)
	if err != nil {
		return err
	}
	l.n.members.tell(membership.PlatformSeen{Age: time.Since(began)})
	l.mu.Lock()
	l.readAt = began
	l.listing.ApplyList(began, l.entries(vms))
	from, first := l.told, l.told == 0 && l.source == ""
	if l.source != "" {
		from = 0 // another reader told news in between
	}
	news := l.listing.ChangesSince(from)
	l.told, l.source = l.listing.Seq(), ""
	l.mu.Unlock()
	l.n.members.tell(membership.VMs{Full: news.Full, Changes: news.Changes})
	if first {
		l.n.members.tell(membership.Tick{})
	}
	return nil
}

// entries derives daemons' addresses: all daemons use the same ports.
func (l *listingReader) entries(vms []objectstore.VM) []membership.VMEntry {
	out := make([]membership.VMEntry, 0, len(vms))
	for _, vm := range vms {
		e := membership.VMEntry{ID: vm.ID, Place: vm.Place, Region: vm.Region, Leaving: vm.Leaving}
		if vm.Labels[RoleLabel] == EntryRole {
			e.APIAddress = samePort(vm.Address, l.n.settings.APIAddress)
			e.PeerAddress = samePort(vm.Address, l.n.settings.PeerAddress)
		}
		out = append(out, e)
	}
	return out
}

func samePort(ip, own string) string {
	_, port, _ := net.SplitHostPort(own)
	return net.JoinHostPort(ip, port)
}

// poll asks the readers for news, best first, until one has fresh ones. Only
// when none answers does this daemon read by itself, within a budget that
// shrinks with the size of the fleet.
func (l *listingReader) poll(ctx context.Context) {
	view := l.n.view.Load()
	answered := false
	for _, r := range view.PlatformReaders() {
		if r.ID == l.n.self.ID {
			continue
		}
		age, err := l.ask(ctx, r)
		answered = answered || err == nil
		if err == nil && age < newsFresh {
			return
		}
	}
	l.budget.SetLimit(rate.Every(max(ownReadEvery, time.Duration(len(view.Members))*time.Second/fleetReads)))
	if answered {
		return
	}
	l.mu.Lock()
	l.alone = time.Now()
	l.mu.Unlock()
	if l.budget.Allow() {
		_ = l.read(ctx)
	}
}

func (l *listingReader) ask(ctx context.Context, r membership.Member) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	l.mu.Lock()
	req := listingRequest{}
	if l.source == r.ID {
		req = listingRequest{l.readerRun, l.seq}
	}
	l.mu.Unlock()
	var reply listingReply
	if err := l.n.transport.Call(ctx, r.PeerAddress, kindListing, req, &reply); err != nil {
		return 0, err
	}
	l.n.learnVersion(reply.Version, r.PeerAddress)
	if reply.Age >= newsFresh {
		return reply.Age, nil
	}
	l.mu.Lock()
	l.source, l.readerRun, l.seq = r.ID, reply.Run, reply.Seq
	l.mu.Unlock()
	l.n.members.tell(membership.PlatformSeen{Age: reply.Age})
	l.n.members.tell(reply.News)
	return reply.Age, nil
}
