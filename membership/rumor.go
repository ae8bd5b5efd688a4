package membership

import "github.com/vanillaroad/vanillaroad/peer"

// Rumor is what one daemon tells another about a member. Of two rumors about
// one run, the greater Counter wins; at equal counters suspicion wins.
type Rumor struct {
	peer.Identity
	// Counter rises when the member itself refutes a suspicion or leaves.
	Counter uint64 `msgpack:"n"`
	Suspect bool   `msgpack:"s,omitempty"`
	// Leaving never turns back within one run.
	Leaving bool `msgpack:"l,omitempty"`
	// Starting tells that no configuration is in force on it yet.
	Starting bool `msgpack:"b,omitempty"`
	// Version is the configuration version in force on it. It is only current
	// in a message that the member itself sent.
	Version int64 `msgpack:"v,omitempty"`
}

// supersedes tells whether r is news after old.
func (r Rumor) supersedes(old Rumor) bool {
	switch {
	case r.Incarnation != old.Incarnation:
		return r.Incarnation > old.Incarnation
	case r.Counter != old.Counter:
		return r.Counter > old.Counter
	}
	return r.Suspect && !old.Suspect
}

// Message is the content of probes and their replies.
type Message struct {
	From   Rumor   `msgpack:"f"`
	Rumors []Rumor `msgpack:"r,omitempty"`
}

// maxRumors bounds the rumors of one message, and so its bytes: a rumor takes
// about 150.
const maxRumors = 6

// queuedRumor is a rumor with the number of messages it still goes out with.
type queuedRumor struct {
	rumor     Rumor
	remaining int
}

// rumorQueue holds the rumors to spread, newest first.
type rumorQueue struct{ items []queuedRumor }

// push adds a rumor and drops older ones about the same member.
func (q *rumorQueue) push(r Rumor, transmissions int) {
	kept := []queuedRumor{{r, transmissions}}
	for _, i := range q.items {
		if i.rumor.ID != r.ID {
			kept = append(kept, i)
		}
	}
	q.items = kept
}

// next returns up to maxRumors rumors, those sent least often first.
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
