// Package placement orders targets to serve what operators want. One daemon a
// service holds a lease in the platform, whose fencing number goes with every
// order; the rest stand by.
//
// Lease and Planner are pure: the time and what was learned go in, decisions
// come out.
package placement

import (
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/objectstore"
)

// Settings bound leases and orders.
type Settings struct {
	// LeaseDuration is how long a lease lasts after its renewal was sent.
	LeaseDuration jsontime.Duration `json:"lease_duration" validate:"gt=0"`
	// LeaseMargin is how long before its lease ends a holder stops ordering.
	LeaseMargin jsontime.Duration `json:"lease_margin" validate:"gt=0,ltfield=LeaseDuration"`
	// OrderTimeout is the longest an order can be under way. A new holder
	// waits that long before it orders targets that ignore fencing numbers.
	OrderTimeout jsontime.Duration `json:"order_timeout" validate:"gt=0"`
	// LoadTimeout is how long a target may take to report what it was ordered.
	LoadTimeout jsontime.Duration `json:"load_timeout" validate:"gt=0"`
	// MaxLoads bounds the targets of the whole site that load weights at once.
	MaxLoads int `json:"max_loads" validate:"min=1"`
}

// DefaultSettings returns the settings of a daemon whose file names none.
func DefaultSettings() Settings {
	return Settings{
		LeaseDuration: jsontime.Duration(6 * time.Second),
		LeaseMargin:   jsontime.Duration(2 * time.Second),
		OrderTimeout:  jsontime.Duration(2 * time.Second),
		LoadTimeout:   jsontime.Duration(5 * time.Minute),
		MaxLoads:      4,
	}
}

// renewalsPerLease is how often a holder renews within one duration.
const renewalsPerLease = 3

// Record is the value of a lease object. An empty Holder means released.
type Record struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Fencing     int64  `json:"fencing"` // rises with every new holder
	WriteID     int64  `json:"write_id"`
}

// Candidate is the daemon that wants the lease.
type Candidate struct {
	ID          string
	Incarnation uint64
}

// LeaseInput is something a lease learns.
type LeaseInput interface{ leaseInput() }

// LeaseTick lets time pass. Rank is this daemon's place among the live
// candidates of the service, 0 first; a negative rank is no candidate.
type LeaseTick struct{ Rank int }

// LeaseReadResult is the answer of a read. Found is false if there is no object.
type LeaseReadResult struct {
	Found   bool
	Version int64
	Record  Record
	Failed  bool
}

// LeaseWriteResult is the answer of a write.
type LeaseWriteResult struct {
	WriteID int64
	Version int64
	Outcome WriteOutcome
}

// WriteOutcome tells how a write ended.
type WriteOutcome string

// Results of a write.
const (
	Written        WriteOutcome = "written"
	Conflicted     WriteOutcome = "conflict"    // another version won
	NotWritten     WriteOutcome = "not_written" // the store refused or was not reached
	OutcomeUnknown WriteOutcome = "unknown"     // the answer was lost
)

// ClassifyWrite classifies the error of a store's write.
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

// LeaseDecision is something the shell must do.
type LeaseDecision interface{ leaseDecision() }

// ReadLease asks for the lease object.
type ReadLease struct{}

// WriteLease writes the lease object if its version is Expected.
type WriteLease struct {
	Expected int64
	Record   Record
}

// LeaseAcquired tells that this daemon became the holder.
type LeaseAcquired struct{ Fencing int64 }

// LeaseLost tells that this daemon is no longer the holder.
type LeaseLost struct{}

func (ReadLease) leaseDecision()     {}
func (WriteLease) leaseDecision()    {}
func (LeaseAcquired) leaseDecision() {}
func (LeaseLost) leaseDecision()     {}

// Lease decides for one service on one daemon. Times are of this daemon's
// monotonic clock; clocks of different daemons are never compared.
type Lease struct {
	settings Settings
	self     Candidate

	version int64     // newest object version seen
	record  Record    // and its record
	seenAt  time.Time // when that version was first seen here

	rank         int
	callPending  bool // a call is under way
	nextRead     time.Time
	lastWriteID  int64
	lastWrite    Record    // record of the last write
	writeSentAt  time.Time // when that write was sent
	writeUnknown bool      // the last write's answer was lost

	fencing      int64     // of the lease held here; 0 when none is
	expiresAt    time.Time // end of the lease held here
	unfencedFrom time.Time // start of orders to targets that ignore fencing
}

// NewLease returns a lease that is not held.
func NewLease(s Settings, o Candidate) *Lease { return &Lease{settings: s, self: o, rank: -1} }

// Holds returns the fencing number while this daemon may order targets. It must
// be asked just before each order is sent. unchecked tells whether targets that
// ignore fencing numbers may be ordered too.
func (l *Lease) Holds(now time.Time) (fencing int64, allowUnfenced, ok bool) {
	if l.fencing == 0 || !now.Before(l.expiresAt.Add(-l.settings.LeaseMargin.Std())) {
		return 0, false, false
	}
	return l.fencing, !now.Before(l.unfencedFrom), true
}

// Step takes one input and returns what to do.
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

// drop ends the lease held here. A renewal still under way is disowned, so that
// holding again takes a new fencing number.
func (l *Lease) drop() []LeaseDecision {
	if l.fencing == 0 {
		return nil
	}
	l.fencing, l.writeUnknown, l.lastWrite = 0, false, Record{}
	return []LeaseDecision{LeaseLost{}}
}

// write sends this daemon's claim on top of the newest version seen.
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
	case OutcomeUnknown: // read back
		l.writeUnknown, l.nextRead = true, now
	}
	return nil
}

// acquired makes the last write's claim this daemon's. The lease counts from when
// the write was sent: others count from when they saw it, which is later.
func (l *Lease) acquired(now time.Time, version int64) []LeaseDecision {
	l.version, l.record, l.seenAt = version, l.lastWrite, now
	l.writeUnknown = false
	expiresAt := l.writeSentAt.Add(l.settings.LeaseDuration.Std())
	if !now.Before(expiresAt) {
		return l.drop() // known too late to be of use
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
		return out // a late answer
	}
	if in.Version != l.version {
		l.version, l.record, l.seenAt = in.Version, in.Record, now
	}
	if l.rank >= 0 && l.fencing == 0 && l.canAcquire(now, in) {
		out = append(out, l.write(now, l.record.Fencing+1))
	}
	return out
}

// dropIfSuperseded drops the lease if the object names another holder.
func (l *Lease) dropIfSuperseded(in LeaseReadResult) []LeaseDecision {
	if l.fencing != 0 && in.Record.Fencing != l.fencing {
		return l.drop()
	}
	return nil
}

// canAcquire tells whether the lease may be taken: there is none, it was released,
// an earlier run of this daemon held it, or it was not renewed for a whole
// duration since it was first seen here. Lower ranks go first.
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

// Release returns the write that gives the lease up at a planned stop, if it
// is held here. Nothing may be ordered afterwards.
func (l *Lease) Release() []LeaseDecision {
	if l.fencing == 0 || l.writeUnknown {
		l.fencing = 0
		return nil
	}
	r := Record{Fencing: l.fencing}
	l.fencing, l.rank = 0, -1
	return []LeaseDecision{WriteLease{Expected: l.version, Record: r}}
}

// Fencing returns the number of the lease that this daemon has, even when it is
// too close to its end to order; 0 when it has none.
func (l *Lease) Fencing() int64 { return l.fencing }
