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
}

// DefaultSettings returns the settings of a daemon whose file names none.
func DefaultSettings() Settings {
	return Settings{DirectoryTTL: jsontime.Duration(3 * time.Second)}
}

// State is the health of a daemon as seen from here.
type State string

// States of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Gone    State = "gone"
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
	// Departed holds the ids of VMs that were on the VM list and no longer are.
	Departed map[string]bool
}

// Gone tells whether one run of a daemon has certainly ended: its VM was on the
// VM list and has left it, or a later incarnation holds its address. Silence
// alone is never enough, because a paused daemon wakes again.
func (v *View) Gone(id string, incarnation uint64) bool {
	if v.Departed[id] {
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
		if m.State == Alive {
			out = append(out, m)
		}
	}
	return out
}

// Directory returns the API addresses for a caller: members of its place
// first, then by a stable hash of key, so that callers spread evenly.
func (v *View) Directory(place, key string) []string {
	live := v.Live()
	rank := func(m Member) uint64 { return xxhash.Sum64String(key + "\x00" + m.ID) }
	sort.Slice(live, func(i, j int) bool {
		if a, b := live[i].Place == place, live[j].Place == place; a != b {
			return a
		}
		return rank(live[i]) < rank(live[j])
	})
	out := make([]string, 0, len(live))
	for _, m := range live {
		out = append(out, m.APIAddress)
	}
	return out
}
