// Package membership tracks the daemons of the system with a gossip protocol
// and selects the daemons that callers should connect to.
package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Settings configures membership and the directory, the list of API addresses that
// callers request.
type Settings struct {
	// DirectoryTTL is how long callers may cache a directory answer.
	DirectoryTTL jsontime.Duration `json:"directory_ttl" validate:"gt=0"`
	// DrainLimit is the longest time that a planned stop waits for running work.
	DrainLimit jsontime.Duration `json:"drain_limit" validate:"gt=0"`
	// Seeds are peer addresses, IP:port. A daemon that starts while the platform
	// does not answer fetches the members from them.
	Seeds []string `json:"seeds,omitempty" validate:"dive,hostname_port"`
}

// DefaultSettings returns the settings that apply when the settings file has none.
func DefaultSettings() Settings {
	return Settings{DirectoryTTL: jsontime.Duration(3 * time.Second), DrainLimit: jsontime.Duration(30 * time.Minute)}
}

// State is the health of a daemon as observed by this daemon.
type State string

// Member states.
const (
	Alive    State = "alive"
	Starting State = "starting" // has no configuration yet and accepts no work
	Suspect  State = "suspect"  // did not answer probes, or is known only from the VM list
	Leaving  State = "leaving"  // is stopping as planned and accepts no new work
	Gone     State = "gone"
)

// Member is one daemon. Its Incarnation is 0 while it is known only from the VM
// list.
type Member struct {
	peer.Identity
	State State
	// Listed reports whether the newest VM list contains the daemon's VM.
	Listed bool
	// Version is the configuration version that the daemon last reported as
	// active.
	Version int64
}

// View is an immutable snapshot of the members, sorted by id, including this
// daemon.
type View struct {
	Self    peer.Identity
	Members []Member
	// Isolated reports whether this daemon must accept no new work, because it has
	// lost contact with the platform and most peers, or was paused and has had no
	// contact since.
	Isolated bool
	// LeavingVMs is the set of ids of VMs that the VM list marks as leaving.
	LeavingVMs map[string]bool
	// RemovedVMs is the set of ids of VMs that have been removed from the VM list.
	RemovedVMs map[string]bool
}

// Terminated reports whether the given incarnation of a daemon has certainly
// ended: its VM was removed from the VM list, or a later incarnation of the
// daemon is known. A daemon that doesn't answer is not considered terminated,
// because it may be paused and resume later.
func (v *View) Terminated(id string, incarnation uint64) bool {
	if v.RemovedVMs[id] {
		return true
	}
	for _, m := range v.Members {
		if m.ID == id {
			return m.Incarnation > incarnation
		}
	}
	return false
}

// Live returns the members that accept new work.
func (v *View) Live() []Member {
	var out []Member
	for _, m := range v.Members {
		if m.State == Alive && !(v.Isolated && m.ID == v.Self.ID) {
			out = append(out, m)
		}
	}
	return out
}

// Recipients returns the members to which broadcasts go, without this daemon:
// members that accept work, that are finishing their work, or that are starting.
func (v *View) Recipients() []Member {
	var out []Member
	for _, m := range v.Members {
		if (m.State == Alive || m.State == Leaving || m.State == Starting) && m.ID != v.Self.ID && m.Incarnation != 0 {
			out = append(out, m)
		}
	}
	return out
}

// Address returns the peer address of a member, and whether it is known.
func (v *View) Address(id string) (string, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m.PeerAddress, true
		}
	}
	return "", false
}

// Limits on the number of members in a directory answer.
const (
	maxDirectoryMembers = 16
	maxLocalMembers     = 8 // of the caller's own place, if other places have enough members to fill the answer
)

// Directory returns API addresses for a caller in a place: members of that place
// first, then members of other places, each group ordered by a rendezvous hash of
// key. Callers thus spread evenly over the members, and can still connect to
// another place when their own place fails.
func (v *View) Directory(place, key string) []string {
	var local, remote []Member
	for _, m := range v.Live() {
		if m.Place == place {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	Rank(local, key)
	Rank(remote, key)
	localCount := min(len(local), max(maxLocalMembers, maxDirectoryMembers-len(remote)))
	selected := append(local[:localCount:localCount], remote...)
	selected = selected[:min(len(selected), maxDirectoryMembers)]
	out := make([]string, 0, len(selected))
	for _, m := range selected {
		out = append(out, m.APIAddress)
	}
	return out
}

// Rank sorts members by rendezvous hash of key. Daemons that know the same
// members compute the same order, and removing a member does not change the
// relative order of the others.
func Rank(members []Member, key string) {
	weight := make(map[string]uint64, len(members))
	for _, m := range members {
		weight[m.ID] = xxhash.Sum64String(key + "\x00" + m.ID)
	}
	sort.Slice(members, func(i, j int) bool {
		a, b := weight[members[i].ID], weight[members[j].ID]
		return a > b || a == b && members[i].ID < members[j].ID
	})
}
