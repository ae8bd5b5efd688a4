// Package membership knows the daemons of the system and answers which of them
// callers should use.
package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Settings bound membership and directory.
type Settings struct {
	// DirectoryTTL is how long callers may keep a directory answer.
	DirectoryTTL jsontime.Duration `json:"directory_ttl" validate:"gt=0"`
	// DrainLimit bounds the wait of a planned stop for running work.
	DrainLimit jsontime.Duration `json:"drain_limit" validate:"gt=0"`
	// Seeds are peer addresses, IP:port, that a daemon asks for the members
	// when it starts and the platform does not answer.
	Seeds []string `json:"seeds,omitempty" validate:"dive,hostname_port"`
}

// DefaultSettings returns the settings of a daemon whose file names none.
func DefaultSettings() Settings {
	return Settings{DirectoryTTL: jsontime.Duration(3 * time.Second), DrainLimit: jsontime.Duration(30 * time.Minute)}
}

// State is the health of a daemon as seen from here.
type State string

// States of a member.
const (
	Alive    State = "alive"
	Starting State = "starting" // it has no configuration yet and takes no work
	Suspect  State = "suspect"
	Leaving  State = "leaving"
	Gone     State = "gone"
)

// Member is one daemon. Its Incarnation is 0 until this daemon has heard of it.
type Member struct {
	peer.Identity
	State State
	// Listed tells that the newest VM list that was read names it.
	Listed bool
	// Version is the configuration version in force on it, as last heard.
	Version int64
}

// View is an immutable snapshot of the members, sorted by id, self included.
type View struct {
	Self    peer.Identity
	Members []Member
	// Isolated tells that this daemon must take no new work.
	Isolated bool
	// LeavingVMs holds the ids of VMs that the VM list marks as leaving.
	LeavingVMs map[string]bool
	// RemovedVMs holds the ids of VMs that were on the VM list and no longer are.
	RemovedVMs map[string]bool
}

// Terminated tells whether one run of a daemon has certainly ended: its VM was on the
// VM list and has left it, or a later incarnation holds its address. Silence
// alone is never enough, because a paused daemon wakes again.
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

// Live returns the members that take new work.
func (v *View) Live() []Member {
	var out []Member
	for _, m := range v.Members {
		if m.State == Alive && !(v.Isolated && m.ID == v.Self.ID) {
			out = append(out, m)
		}
	}
	return out
}

// Recipients returns the members other than this daemon that need to know what is
// in force: those that take work, finish what they have, or are starting.
func (v *View) Recipients() []Member {
	var out []Member
	for _, m := range v.Members {
		if (m.State == Alive || m.State == Leaving || m.State == Starting) && m.ID != v.Self.ID && m.Incarnation != 0 {
			out = append(out, m)
		}
	}
	return out
}

// Address returns the peer address of a member.
func (v *View) Address(id string) (string, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m.PeerAddress, true
		}
	}
	return "", false
}

// Bounds of a directory answer.
const (
	maxDirectoryMembers = 16
	maxLocalMembers     = 8 // of them in the caller's own place, if others have any
)

// Directory returns the API addresses for a caller: members of its place
// first, then others, each by a stable hash of key, so that callers spread
// evenly and still reach another place when their own is lost.
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

// Rank sorts members by rendezvous hash: every daemon with the same members
// gets the same order, and a member that goes moves no other.
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
