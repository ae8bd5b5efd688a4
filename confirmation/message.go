package confirmation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// Input is an input of a Replica: a message from another daemon or a local
// event.
type Input any

// Local inputs.
type (
	// Assigned carries an assignment of the shard. Epochs that are not newer
	// than the current one are ignored.
	Assigned struct{ Shard Shard }
	// Ask is a caller's request for a key. Token identifies it in the Reply.
	// FirstLost reports that the daemon that sent the request could not reach
	// the first daemon of the pair. With LookupOnly, the key is looked up, but
	// never run.
	Ask struct {
		Token      uint64
		Request    Request
		Digest     string
		FirstLost  bool
		LookupOnly bool
	}
	// Result is the outcome of a dispatch.
	Result struct{ Record Record }
	// Reach reports whether another daemon of the shard answers this one's
	// probes. Silent means that it does not.
	Reach struct {
		Peer   Ref
		Silent bool
	}
	// Lost reports that an incarnation of another daemon has certainly ended.
	Lost struct{ Peer Ref }
	// Repair reports that the shard's third daemon is missing and can be
	// replaced.
	Repair struct{}
	// Leave reports that this daemon is to stop.
	Leave struct{}
	// Tick resends unanswered messages and expires old records.
	Tick struct{}
)

// Messages between the daemons of a shard. Any message may be lost, delayed or
// duplicated.
type (
	// Intent requests that the second daemon of the pair record that the first
	// will dispatch a key.
	Intent struct {
		Shard  int    `msgpack:"shard"`
		Epoch  int64  `msgpack:"epoch"`
		From   Ref    `msgpack:"from"`
		Key    string `msgpack:"key"`
		Digest string `msgpack:"digest"`
	}
	// IntentAck acknowledges that the intent is recorded.
	IntentAck struct {
		Shard int    `msgpack:"shard"`
		Epoch int64  `msgpack:"epoch"`
		From  Ref    `msgpack:"from"`
		Key   string `msgpack:"key"`
	}
	// Sealed reports to a daemon that the sender records no more of its intents
	// in Epoch. Shard is the newest assignment that the sender knows.
	Sealed struct {
		Shard Shard `msgpack:"shard"`
		Epoch int64 `msgpack:"epoch"`
		From  Ref   `msgpack:"from"`
	}
	// Copy carries an outcome to a daemon that has the key on record or has
	// lost its record. Settled reports that no daemon but the key's holder, the
	// daemon that may dispatch it, can have run the key.
	Copy struct {
		Shard   int    `msgpack:"shard"`
		Epoch   int64  `msgpack:"epoch"`
		From    Ref    `msgpack:"from"`
		Digest  string `msgpack:"digest"`
		Record  Record `msgpack:"record"`
		Settled bool   `msgpack:"settled"`
	}
	// CopyAck acknowledges that the outcome is recorded in an epoch.
	CopyAck struct {
		Shard int    `msgpack:"shard"`
		Epoch int64  `msgpack:"epoch"`
		From  Ref    `msgpack:"from"`
		Key   string `msgpack:"key"`
	}
	// Sync carries one part of the first daemon's records to a new second
	// daemon.
	Sync struct {
		Shard int    `msgpack:"shard"`
		Epoch int64  `msgpack:"epoch"`
		From  Ref    `msgpack:"from"`
		Part  int    `msgpack:"part"`
		Last  bool   `msgpack:"last"`
		Facts []Fact `msgpack:"facts"`
	}
	// SyncAck acknowledges that a part is recorded.
	SyncAck struct {
		Shard int   `msgpack:"shard"`
		Epoch int64 `msgpack:"epoch"`
		From  Ref   `msgpack:"from"`
		Part  int   `msgpack:"part"`
	}
	// Claim requests from the third daemon the grant: the right to continue
	// without the partner, the other daemon of the pair.
	Claim struct {
		Shard Shard `msgpack:"shard"`
		From  Ref   `msgpack:"from"`
	}
	// Granted names the daemon of the pair, Holder, that has the grant: the
	// right to continue without its partner in an epoch.
	Granted struct {
		Shard  int   `msgpack:"shard"`
		Epoch  int64 `msgpack:"epoch"`
		From   Ref   `msgpack:"from"`
		Holder Ref   `msgpack:"holder"`
	}
	// Renew requests that the second daemon promise never to take over in an
	// epoch, so that the next epoch can begin with another third daemon.
	Renew struct {
		Shard int   `msgpack:"shard"`
		Epoch int64 `msgpack:"epoch"`
		From  Ref   `msgpack:"from"`
	}
	// HandOver reports to the second daemon that the first is stopping and
	// dispatches no more keys.
	HandOver struct {
		Shard int   `msgpack:"shard"`
		Epoch int64 `msgpack:"epoch"`
		From  Ref   `msgpack:"from"`
	}
	// Retire promises the first daemon that the second never takes over in an
	// epoch.
	Retire struct {
		Shard int   `msgpack:"shard"`
		Epoch int64 `msgpack:"epoch"`
		From  Ref   `msgpack:"from"`
	}
)

// Fact is one record in a Sync. Pending means that the outcome is not final:
// Holder may still dispatch the key, or has dispatched it.
type Fact struct {
	Digest  string `msgpack:"digest"`
	Pending bool   `msgpack:"pending"`
	Holder  Ref    `msgpack:"holder"`
	Record  Record `msgpack:"record"`
}

// Decision is an action that a Replica returns for its caller to carry out.
type Decision any

// Decisions.
type (
	// Send sends a message once.
	Send struct {
		To      Ref
		Message Input
	}
	// Dispatch sends a call to a target once; its outcome returns as a Result.
	Dispatch struct{ Request Request }
	// Reply answers an Ask.
	Reply struct {
		Token  uint64
		Answer Answer
	}
	// Propose requests a new epoch by conditional update of the map. The daemon
	// that writes the map chooses Second and Third.
	Propose struct{ Shard Shard }
)

// Answer is the reply to an Ask. NotOwner means that this daemon did not decide
// about the key, and that Shard names the daemons that may. Code is empty unless
// the call is refused.
type Answer struct {
	OtherRun bool         `msgpack:"other_run"` // the addressed incarnation has ended: the daemon has restarted
	Record   Record       `msgpack:"record"`
	NotOwner bool         `msgpack:"not_owner"`
	Shard    Shard        `msgpack:"shard"`
	Code     failure.Code `msgpack:"code"`
	Message  string       `msgpack:"message"`
}

// Limits are the time bounds of a Replica.
type Limits struct {
	// Retention is how long an outcome is kept after its key was issued.
	Retention time.Duration
	// Skew is the largest difference between the clocks of two daemons.
	Skew time.Duration
	// GrantWait is the longest time that a daemon waits for the third daemon's
	// grant before it proposes a new epoch without it.
	GrantWait time.Duration
	// Resend is the delay before an unanswered message is sent again.
	Resend time.Duration
	// CopyWait is the longest time that a caller waits for the copy of an
	// outcome to be acknowledged. A first daemon that has a second one never
	// reports NotRun without the acknowledgment.
	CopyWait time.Duration
	// RetryAfter is returned with answers that may still change.
	RetryAfter time.Duration
}
