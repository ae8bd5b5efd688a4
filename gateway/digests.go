package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/peer"
)

const (
	// digestInterval is the time between two digests of a reporter.
	digestInterval = 250 * time.Millisecond
	// maxSilentReports is the number of silent daemons to which each report goes directly.
	maxSilentReports = 1
	// fetchInterval is the minimum time between two fetches of all reports.
	fetchInterval = 2 * time.Second
)

// reportsQuery asks a reporter for all reports, an exchange.Digest.
type reportsQuery struct{}

// sentReport is a daemon's report to a reporter of its place.
type sentReport struct {
	Sequence uint64             `msgpack:"s"`
	Primary  bool               `msgpack:"p,omitempty"` // the sender takes the receiver for the primary reporter
	Body     msgpack.RawMessage `msgpack:"b"`           // loadReport
}

// digests exchanges load reports through the reporters of the places, in fleets that are too
// large for each daemon to send its reports to all others.
type digests struct {
	p *peers

	mu        sync.Mutex
	sequence  uint64 // of this daemon's reports
	builder   *exchange.DigestBuilder
	reader    *exchange.DigestReader
	newcomers map[string]bool // daemons of this place that have started since the last digest
	fetchedAt time.Time       // see fetch
}

func newDigests(p *peers) *digests {
	return &digests{p: p, builder: exchange.NewDigestBuilder(), reader: exchange.NewDigestReader(), newcomers: make(map[string]bool)}
}

// send sends this daemon's report to the reporters of its place, and to daemons that get
// nothing through reporters.
func (d *digests) send(report loadReport) {
	body, err := msgpack.Marshal(report)
	if err != nil {
		d.p.countLost(1)
		return
	}
	now, m := time.Now(), d.p.g.members
	d.mu.Lock()
	d.sequence++
	sequence := d.sequence
	d.mu.Unlock()
	m.mu.Lock()
	reporters, rank := m.list.Reporters(now, m.self.Place)
	direct := m.list.Unrelayed(now, int(sequence), maxSilentReports)
	m.mu.Unlock()
	if rank >= 0 {
		d.mu.Lock()
		d.builder.AddOwn(now, exchange.MemberReport{ID: m.self.ID, Incarnation: m.incarnation, Sequence: sequence, Body: body}, rank == 0)
		d.mu.Unlock()
	}
	for i, r := range reporters {
		if r.ID != m.self.ID {
			go d.p.send(r.Peers, kindReport, sentReport{Sequence: sequence, Primary: i == 0, Body: body})
		}
	}
	for _, other := range direct {
		go d.p.send(other.Peers, kindLoad, msgpack.RawMessage(body))
	}
}

// run sends digests of the reports that this daemon got as a reporter until ctx is done.
func (d *digests) run(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.sendDigests(now)
		}
	}
}

// sendDigests sends a digest to the daemons of this place and to the reporters of the others.
func (d *digests) sendDigests(now time.Time) {
	d.mu.Lock()
	place, remote := d.builder.Next(now)
	full := d.builder.Full(now)
	turn := int(d.sequence)
	newcomers := d.newcomers
	d.newcomers = make(map[string]bool)
	d.mu.Unlock()
	if place.Empty() {
		return
	}
	m := d.p.g.members
	m.mu.Lock()
	neighbors, remoteReporters := m.list.Neighbors(m.self.Place), m.list.RemoteReporters(now, m.self.Place, turn)
	m.mu.Unlock()
	known, started := neighbors[:0:0], neighbors[:0:0]
	for _, n := range neighbors {
		if newcomers[n.ID] {
			started = append(started, n)
		} else {
			known = append(known, n)
		}
	}
	d.sendDigest(known, place)
	d.sendDigest(started, full)
	if !remote.Empty() {
		d.sendDigest(remoteReporters, remote)
	}
}

// sendDigest sends a digest, encoded once, to daemons.
func (d *digests) sendDigest(to []exchange.Member, digest exchange.Digest) {
	if len(to) == 0 {
		return
	}
	body, err := msgpack.Marshal(digest)
	if err != nil {
		d.p.countLost(len(to))
		return
	}
	metrics.GetOrRegisterCounter("peer.digests", d.p.g.metrics).Inc(int64(len(to)))
	metrics.GetOrRegisterCounter("peer.digest_bytes", d.p.g.metrics).Inc(int64(len(to) * len(body)))
	for _, member := range to {
		go d.p.send(member.Peers, kindDigest, msgpack.RawMessage(body))
	}
}

// handleReport handles the report of a daemon that takes this one for a reporter.
func (d *digests) handleReport(_ context.Context, from peer.Identity, sent sentReport) (any, error) {
	report := exchange.MemberReport{ID: from.ID, Incarnation: from.Incarnation, Sequence: sent.Sequence, Body: sent.Body}
	d.mu.Lock()
	if d.builder.AddOwn(time.Now(), report, sent.Primary) {
		d.newcomers[from.ID] = true
	}
	d.mu.Unlock()
	_, err := d.apply(exchange.Digest{Reports: []exchange.MemberReport{report}})
	return nil, err
}

// handleDigest handles the digest of a reporter. A reporter passes on those of other places.
func (d *digests) handleDigest(_ context.Context, from peer.Identity, digest exchange.Digest) (any, error) {
	now, m := time.Now(), d.p.g.members
	if from.Place != m.self.Place {
		m.mu.Lock()
		_, rank := m.list.Reporters(now, m.self.Place)
		m.mu.Unlock()
		d.mu.Lock()
		d.builder.AddRemote(now, digest, rank == 0)
		d.mu.Unlock()
	}
	complete, err := d.apply(digest)
	if !complete {
		d.fetch(from)
	}
	return nil, err
}

// fetch fetches all reports that a reporter knows, unless this daemon did so recently.
func (d *digests) fetch(from peer.Identity) {
	d.mu.Lock()
	recently := time.Since(d.fetchedAt) < fetchInterval
	if !recently {
		d.fetchedAt = time.Now()
	}
	d.mu.Unlock()
	if recently {
		return
	}
	ctx, cancel := context.WithTimeout(d.p.ctx, peerTimeout)
	defer cancel()
	var full exchange.Digest
	if err := d.p.transport.Call(ctx, from.PeerAddress, kindReports, reportsQuery{}, &full); err != nil {
		d.p.countLost(1) // the next digest shows again that reports are missing
		return
	}
	_, _ = d.apply(full) // a report that can't be decoded is from a build that sends others
}

// handleQuery answers a reportsQuery.
func (d *digests) handleQuery(context.Context, peer.Identity, reportsQuery) (any, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.builder.Full(time.Now()), nil
}

// apply applies what is news in a digest. complete is false if this daemon doesn't know the
// reports of all daemons that it shows to be live.
func (d *digests) apply(digest exchange.Digest) (complete bool, err error) {
	d.mu.Lock()
	news, alive, complete := d.reader.Read(digest)
	d.mu.Unlock()
	m := d.p.g.members
	for _, r := range alive {
		if r.ID == m.self.ID || !m.heardAlive(r) {
			continue
		}
		if to, registered := m.identity(r.ID, r.Incarnation); registered {
			d.p.sendKnown(to)
		}
	}
	for _, r := range news {
		from, registered := m.identity(r.ID, r.Incarnation)
		if !registered {
			d.mu.Lock()
			d.reader.Drop(r.ID) // its next report is news once it is
			d.mu.Unlock()
		}
		if r.ID == m.self.ID || !registered {
			continue
		}
		var report loadReport
		if decodeErr := msgpack.Unmarshal(r.Body, &report); decodeErr != nil {
			err = errors.Wrapf(decodeErr, "decode the report of %s", r.ID)
			continue
		}
		d.p.applyLoad(from, report)
	}
	return complete, err
}

// forget drops the daemons for whose ids keep returns false.
func (d *digests) forget(keep func(id string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reader.Forget(keep)
}
