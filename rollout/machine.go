package rollout

import "time"

// Machine decides on one order for one daemon.
type Machine struct {
	settings Settings
	order    Order
}

// NewMachine returns the machine of an order. startedBefore states that this process runs since
// before the order was written; only then it has a part of the slack.
func NewMachine(s Settings, o Order, now time.Time, startedBefore bool) *Machine {
	return &Machine{settings: s, order: o}
}

// UpdateOrder replaces the order by one with the same target: a presumed order by the one in the
// store, or an order by the same one with an earlier time of creation. Counters stay.
func (m *Machine) UpdateOrder(o Order) {}

// Order returns the order.
func (m *Machine) Order() Order { return m.order }

// SetDaemons sets the number of daemons that share the slack: all with an entry in the store or
// known as members, whether they are heard or not. The largest number counts.
func (m *Machine) SetDaemons(n int) {}

// SetDither sets a number in [0, 1) that differs between daemons and is spread evenly over them,
// such as the rank of the daemon divided by the number of daemons. It decides how fractions of a
// credit are rounded, so that 760 daemons with a fraction of a credit each send some requests to
// the new version. Without it, a daemon needs a whole credit. Only the first call takes effect.
func (m *Machine) SetDither(u float64) {}

// SetTargets states whether any target of the order's version is known.
func (m *Machine) SetTargets(known bool) {}

// CountRequest counts a caller's request for the service.
func (m *Machine) CountRequest(now time.Time) {}

// Allow reports whether a request may be sent to the new version, and spends a credit if so. It
// is called for each send, also for retries, resumes and returns. Release takes back a credit
// whose send was not made.
func (m *Machine) Allow(now time.Time) bool { return false }

// Available reports whether Allow would return true. It spends nothing.
func (m *Machine) Available(now time.Time) bool { return false }

// Release takes back a credit of Allow, because the request was not sent to the new version.
func (m *Machine) Release() {}

// Prefers reports whether new work is due to go to the new version: in the switch phase. Allow is
// still asked for each send.
func (m *Machine) Prefers(now time.Time) bool { return false }

// Allows reports whether a version may get any request at all: none for the new version after a
// verdict against it or after rolled_back, none for other versions after completed.
func (m *Machine) Allows(version string) bool { return true }

// Begin records that a request was sent to a target and returns its number, which Record or
// Abandon then gets. The age of requests that have not ended is evidence of slowness.
func (m *Machine) Begin(now time.Time, version, route string) uint64 { return 0 }

// Record counts the outcome of a request.
func (m *Machine) Record(now time.Time, o Outcome) {}

// Abandon ends a request that its caller ended, whose target refused it, or whose connection the
// daemon closed. It is no response; for one that ran, the time that it waited counts as a lower
// bound of its latency.
func (m *Machine) Abandon(now time.Time, request uint64, ran bool) {}

// Own returns the counters of this daemon, to send to the judges.
func (m *Machine) Own() Evidence { return Evidence{} }

// Urgent reports whether failures or late responses of the new version were added since the last
// call of Own. Such evidence is sent at once.
func (m *Machine) Urgent() bool { return false }

// Changed reports whether anything was added since the last call of Own.
func (m *Machine) Changed() bool { return false }

// Merge takes the counters of another daemon. Older counters than the ones known are ignored.
// Counters for another target are ignored.
func (m *Machine) Merge(now time.Time, daemon string, incarnation uint64, e Evidence) {}

// MarkBad records a verdict of another daemon against the new version. It is final.
func (m *Machine) MarkBad(reason string) {}

// ApplyStatus takes the status of the order as read from the store.
func (m *Machine) ApplyStatus(state State, target string) {}

// Decide judges the evidence and returns the phase, the verdict and the status to write. It is
// called at least every 250 ms, and after Merge.
func (m *Machine) Decide(now time.Time) Decision { return Decision{} }

// Usage returns what the new version got from this daemon: requests counted, sends, credits left.
func (m *Machine) Usage(now time.Time) (requests, sent, left float64) { return 0, 0, 0 }
