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
	// maxVMPollPause bounds the pause of a reader after failed reads.
	maxVMPollPause = 5 * time.Second
	// listingPollPeriod is how often other daemons ask a reader for news.
	listingPollPeriod = 2 * time.Second
	// readerDuration is how long a daemon reads on after it was last asked for news.
	readerDuration = 10 * time.Second
	// maxUpdateAge is the age of news beyond which another reader is asked.
	maxUpdateAge = 3 * time.Second
	// ownReadInterval is the time between own reads of a daemon that no reader
	// answers, and fleetReads the number of such reads a second in the fleet.
	ownReadInterval     = 2 * time.Second
	fleetReadsPerSecond = 20
)

// RoleLabel marks entry VMs in the VM list.
const RoleLabel = "role"

// EntryRole is the RoleLabel value of VMs that run a daemon.
const EntryRole = "entry"

// vmListReader keeps the VM list known here: on a few daemons by reading it,
// on all others by asking one of those.
type vmListReader struct {
	n           *Node
	readLimiter *rate.Limiter // of own reads without a reader

	mu                sync.Mutex
	tracker           *membership.VMListTracker
	readAt            time.Time // last answer of the platform
	lastQueried       time.Time // last time another daemon asked
	lastUnanswered    time.Time // last time that no reader answered
	postedSeq         int64     // number of the own listing's news that the machine has
	sourceID          string    // reader that told the last news
	sourceIncarnation uint64    // its incarnation
	sourceSeq         int64     // number of its news that the machine has
}

func (l *vmListReader) init(n *Node) {
	l.n, l.tracker = n, membership.NewVMListTracker()
	l.readLimiter = rate.NewLimiter(rate.Every(ownReadInterval), 1)
}

// listingRequest asks for news after a number of a reader's run.
type listingRequest struct {
	Incarnation uint64 `msgpack:"r"`
	Seq         int64  `msgpack:"s"`
}

type listingReply struct {
	Incarnation uint64         `msgpack:"r"`
	Seq         int64          `msgpack:"s"`
	Age         time.Duration  `msgpack:"a"` // of the reader's last read
	Updates     membership.VMs `msgpack:"n"`
	Version     int64          `msgpack:"v"` // configuration in force there
}

// unknownAge is the age of news that no read brought.
const unknownAge = 24 * time.Hour

func (l *vmListReader) serve(_ context.Context, _ peer.Identity, req listingRequest) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastQueried = time.Now()
	reply := listingReply{Incarnation: l.n.self.Incarnation, Age: l.readAge(), Version: l.n.snapshot.Load().Version}
	if reply.Age >= unknownAge {
		return reply, nil
	}
	if req.Incarnation != reply.Incarnation {
		req.Seq = 0
	}
	reply.Seq, reply.Updates = l.tracker.Seq(), l.tracker.ChangesSince(req.Seq)
	return reply, nil
}

func (l *vmListReader) readAge() time.Duration {
	if l.readAt.IsZero() {
		return unknownAge
	}
	return min(time.Since(l.readAt), unknownAge)
}

// isReader tells whether this daemon reads for others.
func (l *vmListReader) isReader() bool {
	if readers := l.n.view.Load().PlatformReaders(); len(readers) > 0 && readers[0].ID == l.n.self.ID {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastQueried) < readerDuration
}

// watchesConfiguration tells whether this daemon watches the configuration: it reads for
// others, or it reaches no daemon that does.
func (l *vmListReader) watchesConfiguration() bool {
	if l.isReader() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastUnanswered) < readerDuration
}

func (l *vmListReader) run(ctx context.Context) {
	backoff := vmPollPeriod
	_ = l.readPlatform(ctx)
	for ctx.Err() == nil {
		if !l.isReader() {
			l.pollReaders(ctx)
			backoff = vmPollPeriod
			pause.For(ctx, jitter(listingPollPeriod))
			continue
		}
		if l.readPlatform(ctx) == nil {
			backoff = vmPollPeriod
		} else {
			backoff = min(2*backoff, maxVMPollPause)
		}
		pause.For(ctx, jitter(backoff))
	}
}

// jitter returns a time between 3/4 and 5/4 of d, so that daemons don't act in step.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// readPlatform reads the VM list from the platform.
func (l *vmListReader) readPlatform(ctx context.Context) error {
	start := time.Now()
	vms, err := l.n.platform.VMs(ctx)
	l.n.recordPlatformState(err)
	if err != nil {
		return err
	}
	l.n.membership.post(membership.PlatformSeen{Age: time.Since(start)})
	l.mu.Lock()
	l.readAt = start
	l.tracker.ApplyList(start, l.vmEntries(vms))
	fromSeq, first := l.postedSeq, l.postedSeq == 0 && l.sourceID == ""
	if l.sourceID != "" {
		fromSeq = 0 // another reader told news in between
	}
	updates := l.tracker.ChangesSince(fromSeq)
	l.postedSeq, l.sourceID = l.tracker.Seq(), ""
	l.mu.Unlock()
	l.n.membership.post(membership.VMs{Full: updates.Full, Changes: updates.Changes})
	if first {
		l.n.membership.post(membership.Tick{})
	}
	return nil
}

// vmEntries derives daemons' addresses: all daemons use the same ports.
func (l *vmListReader) vmEntries(vms []objectstore.VM) []membership.VMEntry {
	out := make([]membership.VMEntry, 0, len(vms))
	for _, vm := range vms {
		e := membership.VMEntry{ID: vm.ID, Place: vm.Place, Region: vm.Region, Leaving: vm.Leaving}
		if vm.Labels[RoleLabel] == EntryRole {
			e.APIAddress = withPortOf(vm.Address, l.n.settings.APIAddress)
			e.PeerAddress = withPortOf(vm.Address, l.n.settings.PeerAddress)
		}
		out = append(out, e)
	}
	return out
}

func withPortOf(ip, ownAddress string) string {
	_, port, _ := net.SplitHostPort(ownAddress)
	return net.JoinHostPort(ip, port)
}

// pollReaders asks the readers for news, best first, until one has fresh ones. Only
// when none answers does this daemon read by itself, within a budget that
// shrinks with the size of the fleet.
func (l *vmListReader) pollReaders(ctx context.Context) {
	view := l.n.view.Load()
	answered := false
	for _, reader := range view.PlatformReaders() {
		if reader.ID == l.n.self.ID {
			continue
		}
		age, err := l.queryReader(ctx, reader)
		answered = answered || err == nil
		if err == nil && age < maxUpdateAge {
			return
		}
	}
	l.readLimiter.SetLimit(rate.Every(max(ownReadInterval, time.Duration(len(view.Members))*time.Second/fleetReadsPerSecond)))
	if answered {
		return
	}
	l.mu.Lock()
	l.lastUnanswered = time.Now()
	l.mu.Unlock()
	if l.readLimiter.Allow() {
		_ = l.readPlatform(ctx)
	}
}

func (l *vmListReader) queryReader(ctx context.Context, reader membership.Member) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	l.mu.Lock()
	req := listingRequest{}
	if l.sourceID == reader.ID {
		req = listingRequest{l.sourceIncarnation, l.sourceSeq}
	}
	l.mu.Unlock()
	var reply listingReply
	if err := l.n.transport.Call(ctx, reader.PeerAddress, kindListing, req, &reply); err != nil {
		return 0, err
	}
	l.n.observeVersion(reply.Version, reader.PeerAddress)
	if reply.Age >= maxUpdateAge {
		return reply.Age, nil
	}
	l.mu.Lock()
	l.sourceID, l.sourceIncarnation, l.sourceSeq = reader.ID, reply.Incarnation, reply.Seq
	l.mu.Unlock()
	l.n.membership.post(membership.PlatformSeen{Age: reply.Age})
	l.n.membership.post(reply.Updates)
	return reply.Age, nil
}
