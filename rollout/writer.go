package rollout

import "time"

// Object is an order as the store holds it.
type Object struct {
	Revision int64
	Instance int64  // metadata.created
	Target   string // of the spec
	// State and StatusTarget are the status, empty without one.
	State        State
	StatusTarget string
}

// StoreResult is the result of a store call that returned no object.
type StoreResult int

// Results of store calls.
const (
	Unavailable StoreResult = iota // the store did nothing (503)
	Lost                           // no answer: the call may take effect, also later
	Missing                        // there is no such object (404)
)

// ActionKind is what the daemon that writes does next.
type ActionKind int

// Actions.
const (
	Nothing ActionKind = iota
	Read               // read the object and pass it to Saw
	Write              // write the status at Revision and pass the object to Saw
)

// Action is a store call that a Writer asks for. The result of each is passed to Saw or Failed;
// until then, Next asks for nothing.
type Action struct {
	Kind     ActionKind
	Revision int64
	State    State
	Target   string
}

// Parameters of a Writer.
const (
	// writers is the number of daemons, in the order of their rank, that write a status. They are
	// the judges: others don't have the evidence.
	writers = 2
	// runningDelay is how long a daemon waits for each daemon that ranks before it to write
	// running. For a final state it doesn't wait: one that ranks first and is paused or doesn't
	// reach the store may still be heard, the state has to be stored before the time limit, and
	// two conditional writes do no harm. With a delay of 50 ms, the second writer was 50 ms late
	// in 2 of 108 simulated orders of 12 s.
	runningDelay = 500 * time.Millisecond
	// retryDelay is the time between calls after one that failed.
	retryDelay = 250 * time.Millisecond
)

// Writer decides which store calls bring a decision into the status of the order. Each write is
// conditional on the revision that was read, and a final state for the target is never replaced.
type Writer struct {
	order   Order
	object  Object
	known   bool // object is as of the last answer, and no write since then got lost
	gone    bool // the object was deleted or holds another order
	calling bool

	wanted  State // the state of the last decision
	since   time.Time
	retryAt time.Time
}

// NewWriter returns the writer of an order that is in the store.
func NewWriter(o Order) *Writer { return &Writer{order: o} }

// Saw takes the object as a call returned it: a read, a write that took effect (200) or one whose
// revision was not the object's (409). It is also called with what the daemon reads for other
// reasons, with answered false.
func (w *Writer) Saw(now time.Time, o Object, answered bool) {
	if answered {
		w.calling = false
	} else if w.known && o.Revision < w.object.Revision {
		return // read before the last answer
	}
	w.object, w.known = o, true
	w.gone = o.Target != w.order.Target || o.Instance != w.order.Instance
}

// Failed takes the result of a call that returned no object.
func (w *Writer) Failed(now time.Time, r StoreResult) {
	w.calling = false
	w.retryAt = now.Add(retryDelay)
	switch r {
	case Lost:
		w.known = false
	case Missing:
		w.gone = true
	}
}

// Next returns the store call to make now. rank is the number of daemons that rank before this one
// for the service, among those that it hears. The decision has to be made at the same time: a
// daemon that was paused must not write a decision from before the pause.
func (w *Writer) Next(now time.Time, d Decision, rank int) Action {
	if d.Write != w.wanted {
		w.wanted, w.since = d.Write, now
	}
	delay := time.Duration(rank) * runningDelay
	if d.Write.Final() {
		delay = 0
	}
	if d.Write == "" || rank < 0 || rank >= writers || w.calling || w.gone ||
		now.Before(w.retryAt) || now.Sub(w.since) < delay {
		return Action{}
	}
	if !w.known {
		w.calling = true
		return Action{Kind: Read}
	}
	if w.object.StatusTarget == w.order.Target && (w.object.State.Final() || w.object.State == d.Write) {
		return Action{}
	}
	w.calling = true
	return Action{Kind: Write, Revision: w.object.Revision, State: d.Write, Target: w.order.Target}
}

// Stored returns the status as last seen, and whether the object holds the order of the writer.
func (w *Writer) Stored() (state State, target string, current bool) {
	return w.object.State, w.object.StatusTarget, w.known && !w.gone
}
