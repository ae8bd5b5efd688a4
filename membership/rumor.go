package membership

import "github.com/vanillaroad/vanillaroad/peer"

// Rumor is the gossiped state of a member. A rumor about a later incarnation
// supersedes one about an earlier incarnation. Within one incarnation, the rumor
// with the greater Counter wins; with equal counters, suspicion wins.
type Rumor struct {
	peer.Identity
	// Counter numbers the states that a member announces in one incarnation. Only
	// the member increments it: when it refutes a suspicion, becomes ready or
	// leaves.
	Counter uint64 `msgpack:"n"`
	// Suspect reports whether the member is suspected to have failed.
	Suspect bool `msgpack:"s,omitempty"`
	// Leaving is never reset within one incarnation.
	Leaving bool `msgpack:"l,omitempty"`
	// Starting reports whether the member has no active configuration yet.
	Starting bool `msgpack:"b,omitempty"`
	// Version is the configuration version active on the member. It is current
	// only in a message sent by the member itself.
	Version int64 `msgpack:"v,omitempty"`
}

// supersedes reports whether r replaces old.
func (r Rumor) supersedes(old Rumor) bool {
	switch {
	case r.Incarnation != old.Incarnation:
		return r.Incarnation > old.Incarnation
	case r.Counter != old.Counter:
		return r.Counter > old.Counter
	}
	return r.Suspect && !old.Suspect
}

// Message is the payload of probes and probe replies.
type Message struct {
	From   Rumor   `msgpack:"f"`
	Rumors []Rumor `msgpack:"r,omitempty"`
}

// maxRumors is the maximum number of queued rumors that one message carries. It
// limits the message size: an encoded rumor has about 150 bytes.
const maxRumors = 6

// queuedRumor is a rumor with its remaining number of transmissions.
type queuedRumor struct {
	rumor     Rumor
	remaining int
}

// rumorQueue holds the rumors to piggyback on messages: new ones first, followed
// by those already sent.
type rumorQueue struct{ items []queuedRumor }

// push adds a rumor and drops older rumors about the same member.
func (q *rumorQueue) push(r Rumor, transmissions int) {
	kept := []queuedRumor{{r, transmissions}}
	for _, i := range q.items {
		if i.rumor.ID != r.ID {
			kept = append(kept, i)
		}
	}
	q.items = kept
}

// next returns up to maxRumors rumors, least often sent first, and counts one
// transmission of each.
func (q *rumorQueue) next() []Rumor {
	var out []Rumor
	var sent, unsent []queuedRumor
	for _, i := range q.items {
		if len(out) == maxRumors {
			unsent = append(unsent, i)
			continue
		}
		out = append(out, i.rumor)
		if i.remaining > 1 {
			sent = append(sent, queuedRumor{i.rumor, i.remaining - 1})
		}
	}
	q.items = append(unsent, sent...)
	return out
}
