// Package placement sends orders to targets: to load the models and to assume the
// roles that the configuration wants. For each service one daemon holds a lease,
// which is an object in the platform's store, and only that daemon sends orders.
// Each order carries the lease's fencing number. The other candidates wait until
// they can acquire the lease.
//
// Lease and Planner do no I/O and read no clock: their decisions depend only on
// the times and inputs passed to them.
package placement

import (
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/objectstore"
)

// Settings configures leases and orders.
type Settings struct {
	// LeaseDuration is how long a lease is valid after its last renewal was sent.
	LeaseDuration jsontime.Duration `json:"lease_duration" validate:"gt=0"`
	// LeaseMargin is how long before the end of its lease a holder stops sending
	// orders.
	LeaseMargin jsontime.Duration `json:"lease_margin" validate:"gt=0,ltfield=LeaseDuration"`
	// OrderTimeout is the maximum time that an order can be in flight. A new
	// holder of a lease waits that long before it sends orders to targets that
	// ignore fencing numbers.
	OrderTimeout jsontime.Duration `json:"order_timeout" validate:"gt=0"`
	// LoadTimeout is how long a target may take to report the state that an order
	// requests.
	LoadTimeout jsontime.Duration `json:"load_timeout" validate:"gt=0"`
	// MaxLoads is the maximum number of targets of the site, over all services,
	// that load weights at the same time.
	MaxLoads int `json:"max_loads" validate:"min=1"`
}

// DefaultSettings returns the settings that apply where the settings file
// specifies none.
func DefaultSettings() Settings {
	return Settings{
		LeaseDuration: jsontime.Duration(6 * time.Second),
		LeaseMargin:   jsontime.Duration(2 * time.Second),
		OrderTimeout:  jsontime.Duration(2 * time.Second),
		LoadTimeout:   jsontime.Duration(5 * time.Minute),
		MaxLoads:      4,
	}
}

// renewalsPerLease is the number of renewals within one LeaseDuration.
const renewalsPerLease = 3

// Record is the value of a lease object. An empty Holder means that the lease was
// released.
type Record struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Fencing     int64  `json:"fencing"`  // increases with every new holder
	WriteID     int64  `json:"write_id"` // number of the write, counted by its daemon
}

// Candidate identifies one incarnation of a daemon that can hold a lease.
type Candidate struct {
	ID          string
	Incarnation uint64
}

// LeaseInput is an input of Lease.
type LeaseInput interface{ leaseInput() }

// LeaseTick makes a lease check its timers. It is sent periodically. Rank is this
// daemon's position among the live candidates of the service, starting at 0; it is
// negative if this daemon is not a candidate.
type LeaseTick struct{ Rank int }

// LeaseReadResult is the result of a ReadLease. Found is false if the object does
// not exist, Failed is true if the read failed.
type LeaseReadResult struct {
	Found   bool
	Version int64
	Record  Record
	Failed  bool
}

// LeaseWriteResult is the result of a WriteLease. WriteID identifies the write, as
// in its record.
type LeaseWriteResult struct {
	WriteID int64
	Version int64
	Outcome WriteOutcome
}

// WriteOutcome is the outcome of a write to the store.
type WriteOutcome string

// Outcomes of a write.
const (
	Written        WriteOutcome = "written"
	Conflicted     WriteOutcome = "conflict"    // the object has another version than expected
	NotWritten     WriteOutcome = "not_written" // the store refused the write or was not reached
	OutcomeUnknown WriteOutcome = "unknown"     // the response was lost
)

// ClassifyWrite returns the outcome of a write that returned err.
func ClassifyWrite(err error) WriteOutcome {
	switch {
	case err == nil:
		return Written
	case errors.Is(err, objectstore.ErrConflict):
		return Conflicted
	case errors.Is(err, objectstore.ErrUnavailable):
		return NotWritten
	default:
		return OutcomeUnknown
	}
}

func (LeaseTick) leaseInput()        {}
func (LeaseReadResult) leaseInput()  {}
func (LeaseWriteResult) leaseInput() {}

// LeaseDecision is an output of Lease that the caller must carry out.
type LeaseDecision interface{ leaseDecision() }

// ReadLease requests a read of the lease object.
type ReadLease struct{}

// WriteLease requests a write of the lease object, on condition that its version
// is Expected.
type WriteLease struct {
	Expected int64
	Record   Record
}

// LeaseAcquired reports that this daemon became the holder.
type LeaseAcquired struct{ Fencing int64 }

// LeaseLost reports that this daemon is no longer the holder.
type LeaseLost struct{}

func (ReadLease) leaseDecision()     {}
func (WriteLease) leaseDecision()    {}
func (LeaseAcquired) leaseDecision() {}
func (LeaseLost) leaseDecision()     {}

// Lease is the state machine of one service's lease on one daemon. All times come
// from this daemon's monotonic clock; clocks of different daemons are never
// compared.
type Lease struct {
	settings Settings
	self     Candidate

	version int64     // newest version of the lease object that this daemon has seen
	record  Record    // record of that version
	seenAt  time.Time // when this daemon first saw that version

	rank         int  // Rank of the last LeaseTick
	callPending  bool // a read or write is in flight
	nextRead     time.Time
	lastWriteID  int64
	lastWrite    Record    // record of the last write
	writeSentAt  time.Time // when the last write was sent
	writeUnknown bool      // the response to the last write was lost

	fencing      int64     // fencing number of the lease held; 0 if none is held
	expiresAt    time.Time // end of the lease held
	unfencedFrom time.Time // earliest time to send orders to targets that ignore fencing numbers
}

// NewLease returns a lease that is not held by this daemon.
func NewLease(s Settings, c Candidate) *Lease { return &Lease{settings: s, self: c, rank: -1} }

// Holds reports whether this daemon may send orders now and returns the fencing
// number of its lease. It must be called just before each order is sent.
// allowUnfenced reports whether orders may also be sent to targets that ignore
// fencing numbers.
func (l *Lease) Holds(now time.Time) (fencing int64, allowUnfenced, ok bool) {
	if l.fencing == 0 || !now.Before(l.expiresAt.Add(-l.settings.LeaseMargin.Std())) {
		return 0, false, false
	}
	return l.fencing, !now.Before(l.unfencedFrom), true
}

// Step handles one input and returns the resulting decisions.
func (l *Lease) Step(now time.Time, in LeaseInput) []LeaseDecision {
	switch in := in.(type) {
	case LeaseTick:
		l.rank = in.Rank
		return l.tick(now)
	case LeaseReadResult:
		l.callPending = false
		return l.handleRead(now, in)
	case LeaseWriteResult:
		l.callPending = false
		return l.handleWrite(now, in)
	}
	return nil
}

func (l *Lease) renewInterval() time.Duration {
	return l.settings.LeaseDuration.Std() / renewalsPerLease
}

func (l *Lease) tick(now time.Time) []LeaseDecision {
	var out []LeaseDecision
	if l.fencing != 0 && !now.Before(l.expiresAt) {
		out = append(out, l.drop()...)
	}
	if l.callPending {
		return out
	}
	if l.fencing != 0 && !l.writeUnknown {
		if now.Sub(l.writeSentAt) >= l.renewInterval() {
			out = append(out, l.write(now, l.fencing))
		}
		return out
	}
	if (l.rank < 0 && !l.writeUnknown) || now.Before(l.nextRead) {
		return out
	}
	l.callPending, l.nextRead = true, now.Add(l.renewInterval())
	return append(out, ReadLease{})
}

// drop gives up the lease held. It forgets a renewal still in flight, so that the
// lease can only be acquired again with a new fencing number.
func (l *Lease) drop() []LeaseDecision {
	if l.fencing == 0 {
		return nil
	}
	l.fencing, l.writeUnknown, l.lastWrite = 0, false, Record{}
	return []LeaseDecision{LeaseLost{}}
}

// write requests a write that makes this daemon the holder, on condition that the
// newest version seen is still current.
func (l *Lease) write(now time.Time, fencing int64) LeaseDecision {
	l.lastWriteID++
	l.callPending, l.writeSentAt = true, now
	l.lastWrite = Record{Holder: l.self.ID, Incarnation: l.self.Incarnation, Fencing: fencing, WriteID: l.lastWriteID}
	return WriteLease{Expected: l.version, Record: l.lastWrite}
}

func (l *Lease) handleWrite(now time.Time, in LeaseWriteResult) []LeaseDecision {
	if in.WriteID != l.lastWrite.WriteID {
		return nil
	}
	switch in.Outcome {
	case Written:
		return l.acquired(now, in.Version)
	case Conflicted:
		l.nextRead = now
		return l.drop()
	case OutcomeUnknown: // the next read shows whether the write succeeded
		l.writeUnknown, l.nextRead = true, now
	}
	return nil
}

// acquired handles a write that is known to have succeeded. The lease duration
// counts from the time at which the write was sent. Other daemons count it from
// the time at which they first saw the write, which is later.
func (l *Lease) acquired(now time.Time, version int64) []LeaseDecision {
	l.version, l.record, l.seenAt = version, l.lastWrite, now
	l.writeUnknown = false
	expiresAt := l.writeSentAt.Add(l.settings.LeaseDuration.Std())
	if !now.Before(expiresAt) {
		return l.drop() // the lease expired before the result arrived
	}
	newHolder := l.fencing != l.lastWrite.Fencing
	l.fencing, l.expiresAt = l.lastWrite.Fencing, expiresAt
	if !newHolder {
		return nil
	}
	l.unfencedFrom = now.Add(l.settings.OrderTimeout.Std())
	return []LeaseDecision{LeaseAcquired{l.fencing}}
}

func (l *Lease) handleRead(now time.Time, in LeaseReadResult) []LeaseDecision {
	if in.Failed {
		return nil
	}
	if l.writeUnknown && in.Found && in.Record == l.lastWrite {
		return l.acquired(now, in.Version)
	}
	l.writeUnknown = false
	out := l.dropIfSuperseded(in)
	if in.Version < l.version {
		return out // a delayed result of an older version
	}
	if in.Version != l.version {
		l.version, l.record, l.seenAt = in.Version, in.Record, now
	}
	if l.rank >= 0 && l.fencing == 0 && l.canAcquire(now, in) {
		out = append(out, l.write(now, l.record.Fencing+1))
	}
	return out
}

// dropIfSuperseded drops the lease held if the object has another fencing number.
func (l *Lease) dropIfSuperseded(in LeaseReadResult) []LeaseDecision {
	if l.fencing != 0 && in.Record.Fencing != l.fencing {
		return l.drop()
	}
	return nil
}

// canAcquire reports whether this daemon may acquire the lease now. It may if the
// object does not exist, if the lease was released, if an earlier incarnation of
// this daemon held it, or if it was not renewed for a LeaseDuration after this
// daemon saw its current version. Unless an earlier incarnation held the lease, the
// daemon also waits for one renewal interval per rank, so that candidates with lower
// ranks go first.
func (l *Lease) canAcquire(now time.Time, in LeaseReadResult) bool {
	wait := time.Duration(l.rank) * l.renewInterval()
	switch {
	case !in.Found, in.Record.Holder == "":
		return now.Sub(l.seenAt) >= wait
	case in.Record.Holder == l.self.ID && in.Record.Incarnation <= l.self.Incarnation:
		return true
	default:
		return now.Sub(l.seenAt) >= l.settings.LeaseDuration.Std()+wait
	}
}

// Release gives up the lease for a planned stop. It returns the write that releases
// the lease in the store, if the lease is held and the outcome of the last write is
// known. No order may be sent afterwards.
func (l *Lease) Release() []LeaseDecision {
	if l.fencing == 0 || l.writeUnknown {
		l.fencing = 0
		return nil
	}
	r := Record{Fencing: l.fencing}
	l.fencing, l.rank = 0, -1
	return []LeaseDecision{WriteLease{Expected: l.version, Record: r}}
}

// Fencing returns the fencing number of the lease held, or 0 if none is held. Unlike
// Holds, it also returns the number when the lease is too close to its end to send
// orders.
func (l *Lease) Fencing() int64 { return l.fencing }
