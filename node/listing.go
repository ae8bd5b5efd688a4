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

// Timing of reading the VM list. A reader is a daemon that reads the list from the
// platform and serves it to the other daemons.
const (
	// vmPollPeriod is how often a reader reads the VM list.
	vmPollPeriod = time.Second
	// maxVMPollBackoff bounds a reader's backoff after failed reads.
	maxVMPollBackoff = 5 * time.Second
	// readerPollPeriod is how often the other daemons query a reader for updates.
	readerPollPeriod = 2 * time.Second
	// readerDuration is how long a daemon remains a reader after another daemon last
	// queried it.
	readerDuration = 10 * time.Second
	// maxUpdateAge is the age at which a reader's list is outdated, so that another
	// reader is queried.
	maxUpdateAge = 3 * time.Second
	// ownReadInterval is the minimum time between two reads from the platform by a
	// daemon that gets no answer from any reader. fleetReadsPerSecond bounds the rate
	// of such reads in the whole fleet.
	ownReadInterval     = 2 * time.Second
	fleetReadsPerSecond = 20
)

// RoleLabel is the label that states the role of a VM in the VM list.
const RoleLabel = "role"

// EntryRole is the RoleLabel value of VMs that run a daemon.
const EntryRole = "entry"

// vmListReader keeps this daemon's VM list up to date. Every daemon has one, but only a
// few daemons are readers (see isReader): they read the list from the platform, and all
// others query a reader.
type vmListReader struct {
	n           *Node
	readLimiter *rate.Limiter // of reads while no reader answers

	mu                sync.Mutex
	tracker           *membership.VMListTracker
	readAt            time.Time // start of the last successful read
	lastQueried       time.Time // when another daemon last queried this one
	lastUnanswered    time.Time // last time when this daemon queried the readers and none answered
	postedSeq         int64     // number of the newest change in tracker that was posted to membership
	sourceID          string    // reader that sent the last update; "" after an own read
	sourceIncarnation uint64    // incarnation of that reader
	sourceSeq         int64     // number of the newest change in that reader's update
}

func (l *vmListReader) init(n *Node) {
	l.n, l.tracker = n, membership.NewVMListTracker()
	l.readLimiter = rate.NewLimiter(rate.Every(ownReadInterval), 1)
}

// vmListRequest requests the changes of the VM list after number Seq. Incarnation is that
// of the reader when it sent Seq. A reader that has restarted since sends the complete
// list.
type vmListRequest struct {
	Incarnation uint64 `msgpack:"r"`
	Seq         int64  `msgpack:"s"`
}

// vmListReply contains the requested changes. Seq is the number of the newest one.
type vmListReply struct {
	Incarnation uint64         `msgpack:"r"`
	Seq         int64          `msgpack:"s"`
	Age         time.Duration  `msgpack:"a"` // time since the reader's last read
	Updates     membership.VMs `msgpack:"n"`
	Version     int64          `msgpack:"v"` // active configuration version of the reader
}

// unknownAge is the reported age of the list if this daemon has not read it yet. It is a
// sentinel and not a real age. Real ages are capped at it, so that an older list also
// counts as unknown.
const unknownAge = 24 * time.Hour

func (l *vmListReader) serve(_ context.Context, _ peer.Identity, req vmListRequest) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastQueried = time.Now()
	reply := vmListReply{Incarnation: l.n.self.Incarnation, Age: l.readAge(), Version: l.n.snapshot.Load().Version}
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

// isReader reports whether this daemon reads the VM list for others: it is the first of
// its view's platform readers, or was queried within readerDuration.
func (l *vmListReader) isReader() bool {
	if readers := l.n.view.Load().PlatformReaders(); len(readers) > 0 && readers[0].ID == l.n.self.ID {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastQueried) < readerDuration
}

// watchesConfiguration reports whether this daemon watches the configuration: it is
// a reader or can't reach one.
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
			pause.For(ctx, jitter(readerPollPeriod))
			continue
		}
		if l.readPlatform(ctx) == nil {
			backoff = vmPollPeriod
		} else {
			backoff = min(2*backoff, maxVMPollBackoff)
		}
		pause.For(ctx, jitter(backoff))
	}
}

// jitter returns a random duration between 3/4 and 5/4 of d, so that daemons don't
// act at the same time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// readPlatform reads the VM list from the platform and posts the changes.
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
	fromSeq, isFirstList := l.postedSeq, l.postedSeq == 0 && l.sourceID == ""
	if l.sourceID != "" {
		fromSeq = 0 // the last update came from another reader, so post the complete list
	}
	updates := l.tracker.ChangesSince(fromSeq)
	l.postedSeq, l.sourceID = l.tracker.Seq(), ""
	l.mu.Unlock()
	l.n.membership.post(membership.VMs{Full: updates.Full, Changes: updates.Changes})
	if isFirstList {
		l.n.membership.post(membership.Tick{})
	}
	return nil
}

// vmEntries converts the VM list. It derives the addresses of daemons from their VMs'
// addresses: all daemons use the same ports.
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

// withPortOf joins ip with the port of ownAddress.
func withPortOf(ip, ownAddress string) string {
	_, port, _ := net.SplitHostPort(ownAddress)
	return net.JoinHostPort(ip, port)
}

// pollReaders queries the readers in order of preference until one has a list younger
// than maxUpdateAge. Only if none answers, this daemon reads from the platform, at
// most at a rate that decreases with the size of the fleet.
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
	req := vmListRequest{}
	if l.sourceID == reader.ID {
		req = vmListRequest{l.sourceIncarnation, l.sourceSeq}
	}
	l.mu.Unlock()
	var reply vmListReply
	if err := l.n.transport.Call(ctx, reader.PeerAddress, kindVMList, req, &reply); err != nil {
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
