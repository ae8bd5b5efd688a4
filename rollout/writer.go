package rollout

import "time"

// Object is an order as the store holds it.
type Object struct {
	Revision int64
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

// Action is a store call that a Writer asks for. At most one is in progress at a time.
type Action struct {
	Kind     ActionKind
	Revision int64
	State    State
	Target   string
}

// Writer decides which store calls bring a decision into the status of the order.
type Writer struct {
	order Order
}

// NewWriter returns the writer of an order.
func NewWriter(o Order) *Writer { return &Writer{order: o} }

// Saw takes the object as a call returned it: a read, a write that took effect (200) or one whose
// revision was not the object's (409).
func (w *Writer) Saw(now time.Time, o Object) {}

// Failed takes the result of a call that returned no object.
func (w *Writer) Failed(now time.Time, r StoreResult) {}

// Next returns the store call to make now. first states that this daemon ranks first for the
// service among the daemons that it hears.
func (w *Writer) Next(now time.Time, d Decision, first bool) Action { return Action{} }

// Stored returns the status as last seen, and whether the object holds the order of the writer.
func (w *Writer) Stored() (state State, target string, current bool) { return "", "", false }
