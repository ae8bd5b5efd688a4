package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// Input is what a Replica is told: a message of another daemon or an event on
// its own.
type Input any

// Inputs from this daemon.
type (
	// Assigned tells of a shard's assignment; older epochs are ignored.
	Assigned struct{ Shard Shard }
	// Ask is a caller's call. FirstLost tells that the asking daemon could not
	// reach the first; LookupOnly never runs anything.
	Ask struct {
		Token      uint64
		Request    Request
		Digest     string
		FirstLost  bool
		LookupOnly bool
	}
	// Result is what a dispatch came to.
	Result struct{ Record Record }
	// Reach tells whether another daemon of the shard answers this one.
	Reach struct {
		Peer   Ref
		Silent bool
	}
	// Lost tells that another daemon's run has certainly ended.
	Lost struct{ Peer Ref }
	// Repair tells that the shard's third is missing and another is to be had.
	Repair struct{}
	// Leave tells that this daemon is to stop.
	Leave struct{}
	// Tick repeats what was not answered and forgets what is too old.
	Tick struct{}
)

// Messages between the two of a pair. Any may be lost, late or doubled.
type (
	// Intent asks the second to record that the first will dispatch a key.
	Intent struct {
		Shard  int    `msgpack:"shard"`
		Epoch  int64  `msgpack:"epoch"`
		From   Ref    `msgpack:"from"`
		Key    string `msgpack:"key"`
		Digest string `msgpack:"digest"`
	}
	// IntentAck tells that the intent is recorded.
	IntentAck struct {
		Shard int    `msgpack:"shard"`
		Epoch int64  `msgpack:"epoch"`
		From  Ref    `msgpack:"from"`
		Key   string `msgpack:"key"`
	}
	// Sealed tells the first that the second records no more of its intents.
	Sealed struct {
		Shard Shard `msgpack:"shard"`
		Epoch int64 `msgpack:"epoch"`
		From  Ref   `msgpack:"from"`
	}
	// Copy carries an outcome to the daemon that has the key on record, or has
	// lost it. Settled tells that nobody but the holder can have run the key.
	Copy struct {
		Shard   int    `msgpack:"shard"`
		Epoch   int64  `msgpack:"epoch"`
		From    Ref    `msgpack:"from"`
		Digest  string `msgpack:"digest"`
		Record  Record `msgpack:"record"`
		Settled bool   `msgpack:"settled"`
	}
	// CopyAck tells that the outcome is on record in an epoch.
	CopyAck struct {
		Shard int    `msgpack:"shard"`
		Epoch int64  `msgpack:"epoch"`
		From  Ref    `msgpack:"from"`
		Key   string `msgpack:"key"`
	}
	// Sync carries a part of the first's records to a new second.
	Sync struct {
		Shard int    `msgpack:"shard"`
		Epoch int64  `msgpack:"epoch"`
		From  Ref    `msgpack:"from"`
		Part  int    `msgpack:"part"`
		Last  bool   `msgpack:"last"`
		Facts []Fact `msgpack:"facts"`
	}
	// SyncAck tells that a part is on record.
	SyncAck struct {
		Shard int   `msgpack:"shard"`
		Epoch int64 `msgpack:"epoch"`
		From  Ref   `msgpack:"from"`
		Part  int   `msgpack:"part"`
	}
	// Claim asks the third for the right to go on without the partner.
	Claim struct {
		Shard Shard `msgpack:"shard"`
		From  Ref   `msgpack:"from"`
	}
	// Granted tells which one of the pair has that right in an epoch.
	Granted struct {
		Shard  int   `msgpack:"shard"`
		Epoch  int64 `msgpack:"epoch"`
		From   Ref   `msgpack:"from"`
		Holder Ref   `msgpack:"holder"`
	}
	// Renew asks the second never to take over in an epoch, so that the next
	// one can begin with another third.
	Renew struct {
		Shard int   `msgpack:"shard"`
		Epoch int64 `msgpack:"epoch"`
		From  Ref   `msgpack:"from"`
	}
	// HandOver tells the second that the first stops and dispatches no more.
	HandOver struct {
		Shard int   `msgpack:"shard"`
		Epoch int64 `msgpack:"epoch"`
		From  Ref   `msgpack:"from"`
	}
	// Retire tells the first that the second never takes over in an epoch.
	Retire struct {
		Shard int   `msgpack:"shard"`
		Epoch int64 `msgpack:"epoch"`
		From  Ref   `msgpack:"from"`
	}
)

// Fact is one record in a Sync. Pending means that Holder may still dispatch
// the key or has done so with no answer yet.
type Fact struct {
	Digest  string `msgpack:"digest"`
	Pending bool   `msgpack:"pending"`
	Holder  Ref    `msgpack:"holder"`
	Record  Record `msgpack:"record"`
}

// Decision is what a Replica wants done.
type Decision any

// Decisions.
type (
	// Send sends a message once.
	Send struct {
		To      Ref
		Message Input
	}
	// Dispatch sends a call to a target, once, and feeds back a Result.
	Dispatch struct{ Request Request }
	// Reply answers an Ask.
	Reply struct {
		Token  uint64
		Answer Answer
	}
	// Propose asks for a new epoch by conditional update; Second is chosen by
	// whoever writes it.
	Propose struct{ Shard Shard }
)

// Answer is the reply to an Ask. NotOwner means that nothing was decided here
// and Shard says whom to ask; Code is empty unless the call is refused.
type Answer struct {
	OtherRun bool         `msgpack:"other_run"` // the daemon asked for has restarted
	Record   Record       `msgpack:"record"`
	NotOwner bool         `msgpack:"not_owner"`
	Shard    Shard        `msgpack:"shard"`
	Code     failure.Code `msgpack:"code"`
	Message  string       `msgpack:"message"`
}

// Limits bound a Replica.
type Limits struct {
	// Retention is how long an outcome is kept after its key was issued.
	Retention time.Duration
	// Skew is the largest difference between two daemons' clocks.
	Skew time.Duration
	// GrantWait is the longest a daemon waits for the third before it asks the
	// platform for a new epoch without a grant.
	GrantWait time.Duration
	// Resend is the wait before an unanswered message is sent again.
	Resend time.Duration
	// CopyWait is the longest a caller waits for the copy of a true outcome.
	CopyWait time.Duration
	// RetryAfter is told with answers that may still change.
	RetryAfter time.Duration
}
