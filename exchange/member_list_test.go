package exchange

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDirectory(t *testing.T) {
	Convey("Given three daemons", t, func() {
		r := NewMemberList("a", 1)
		for _, id := range []string{"a", "b", "c"} {
			So(r.Put(start, Member{ID: id}), ShouldBeTrue)
		}
		ids := func(now time.Time) (out []string) {
			for _, m := range r.Directory(now) {
				out = append(out, m.ID)
			}
			return out
		}
		Convey("all are returned before the first heartbeat", func() {
			So(ids(start), ShouldResemble, []string{"a", "b", "c"})
		})
		Convey("a silent daemon is left out until its next heartbeat", func() {
			r.RecordHeartbeat(start, "b", 1, false)
			r.RecordHeartbeat(start.Add(time.Second), "c", 1, false)
			So(ids(start.Add(2*time.Second)), ShouldResemble, []string{"a", "c"})
			presence, update := r.RecordHeartbeat(start.Add(3*time.Second), "b", 1, false)
			So(presence, ShouldEqual, Returned)
			So(update, ShouldBeTrue)
			So(ids(start.Add(3*time.Second)), ShouldResemble, []string{"a", "b"})
		})
		Convey("a leaving daemon is left out immediately, also if all others are silent", func() {
			r.RecordHeartbeat(start, "b", 1, true)
			So(ids(start), ShouldResemble, []string{"a", "c"})
			So(ids(start.Add(time.Minute)), ShouldResemble, []string{"a", "c"})
		})
	})
}

// TestRestartIsNoticed guards against a daemon that restarts between two of its
// heartbeats, is taken for the previous one and lacks what its peers send to a daemon
// that returns.
func TestRestartIsNoticed(t *testing.T) {
	Convey("The first heartbeat of each incarnation is noticed, also while the previous one counts as live", t, func() {
		r := NewMemberList("a", 1)
		r.Put(start, Member{ID: "b"})
		for i, want := range []struct {
			incarnation uint64
			presence    Presence
		}{{1, Started}, {1, Continuing}, {2, Started}, {2, Continuing}} {
			presence, update := r.RecordHeartbeat(start.Add(time.Duration(i)*heartbeatGap), "b", want.incarnation, false)
			So(presence, ShouldEqual, want.presence)
			So(update, ShouldEqual, want.presence == Started)
		}
	})
}

// TestSponsors guards against a daemon that starts and gets the same from each of many
// others, or from none because those that should send it have just started as well.
func TestSponsors(t *testing.T) {
	const maxRestartTime = time.Second
	for _, c := range []struct{ daemons, restarted int }{{8, 1}, {8, 5}, {91, 1}, {91, 55}} {
		Convey(fmt.Sprintf("%d of %d daemons restart at once, each is updated by few that did not", c.restarted, c.daemons), t, func() {
			for seed := range uint64(200 / c.daemons) {
				updates := restartSome(seed, c.daemons, c.restarted, maxRestartTime)
				for i := range c.restarted {
					So(updates[i], ShouldBeBetweenOrEqual, 1, maxSponsors)
				}
			}
		})
	}
	Convey("The only other live daemon updates one that starts", t, func() {
		r := NewMemberList("a", 1)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			r.Put(start, Member{ID: id})
		}
		_, update := r.RecordHeartbeat(start, "b", 1, false)
		So(update, ShouldBeTrue)
	})
}

// restartSome restarts the first daemons of many at random times within maxRestartTime
// and returns, for each of them, how many of the others bring it up to date.
func restartSome(seed uint64, daemons, restarted int, maxRestartTime time.Duration) []int {
	random := rand.New(rand.NewPCG(seed, seed))
	ids, incarnations := make([]string, daemons), make([]uint64, daemons)
	restarts := make([]time.Duration, restarted)
	lists := make([]*MemberList, daemons)
	for i := range daemons {
		ids[i], incarnations[i] = fmt.Sprint("vm-", i), 1+random.Uint64N(1000)
		lists[i] = NewMemberList(ids[i], incarnations[i])
	}
	for i := range restarts {
		restarts[i] = time.Duration(random.Int64N(int64(maxRestartTime)))
	}
	for _, l := range lists {
		for i, id := range ids {
			l.Put(start, Member{ID: id})
			l.RecordHeartbeat(start, id, incarnations[i], false)
		}
	}
	updates := make([]int, restarted)
	for now := start.Add(sponsorPeriod); now.Before(start.Add(4 * sponsorPeriod)); now = now.Add(heartbeatGap) {
		for i, id := range ids {
			incarnation := incarnations[i]
			if i < restarted && now.Sub(start) >= 2*sponsorPeriod {
				if now.Sub(start) < 2*sponsorPeriod+restarts[i] {
					continue // it is down
				}
				incarnation += 1_000_000
			}
			for _, l := range lists[restarted:] {
				if _, update := l.RecordHeartbeat(now, id, incarnation, false); update && incarnation != incarnations[i] {
					updates[i]++
				}
			}
		}
	}
	return updates
}

// TestMissingMembers guards against daemons that count as gone, although they serve,
// because a store that was restored from an older copy lacks their entries.
func TestMissingMembers(t *testing.T) {
	later := start.Add(missingMemberGrace + time.Second)
	list := func() *MemberList {
		r := NewMemberList("a", 1)
		r.Put(start, Member{ID: "b"})
		r.RecordHeartbeat(start, "b", 1, false)
		return r
	}
	Convey("a daemon whose entry is missing stays while it is live or for a grace time", t, func() {
		r := list()
		r.Remove(start, "b", true)
		So(r.Registered(Member{ID: "b"}), ShouldBeFalse)
		So(r.Expire(start.Add(missingMemberGrace)), ShouldBeEmpty)
		r.RecordHeartbeat(later, "b", 1, false)
		So(r.Expire(later), ShouldBeEmpty)
		So(r.Len(), ShouldEqual, 1)
		So(r.Expire(later.Add(silenceTimeout)), ShouldResemble, []string{"b"})
		So(r.Len(), ShouldEqual, 0)
	})
	Convey("an entry that returns keeps it", t, func() {
		r := list()
		r.Remove(start, "b", true)
		r.Put(start, Member{ID: "b"})
		So(r.Expire(later), ShouldBeEmpty)
		So(r.Registered(Member{ID: "b"}), ShouldBeTrue)
	})
	Convey("a daemon whose entry was removed is gone at once", t, func() {
		r := list()
		r.Remove(start, "b", false)
		So(r.Len(), ShouldEqual, 0)
	})
}

// TestRegistrationAfterHeartbeat guards against a daemon whose heartbeats arrive before
// its registration, and that gets nothing that was sent to all registered ones between.
func TestRegistrationAfterHeartbeat(t *testing.T) {
	Convey("A daemon is updated at its first heartbeat, and again once it is registered", t, func() {
		r := NewMemberList("a", 1)
		var updated []bool
		for i := range 4 {
			if i == 2 {
				r.Put(start.Add(2*heartbeatGap), Member{ID: "b", Peers: "b:1"})
			}
			_, update := r.RecordHeartbeat(start.Add(time.Duration(i)*heartbeatGap), "b", 1, false)
			updated = append(updated, update)
		}
		So(updated, ShouldResemble, []bool{true, false, true, false})
	})
}

// TestUnheardSilence guards against a daemon that received nothing for a time, and does
// not get what it missed from those that heard it all the while; and against sending it again and again.
func TestUnheardSilence(t *testing.T) {
	// b hears a at start and from the end of a silence on; a hears b at all times.
	play := func(restarted bool) (updates []time.Duration) {
		a, b := NewMemberList("a", 1), NewMemberList("b", 1)
		a.RecordHeartbeat(start, "b", 1, false)
		b.RecordHeartbeat(start, "a", 1, false)
		const silence = 2 * silenceTimeout
		if restarted {
			a = NewMemberList("a", 2)
		}
		for at := heartbeatGap; at < 3*silence; at += heartbeatGap {
			now := start.Add(at)
			if at%silence == 0 { // two silences
				b.RecordHeartbeat(now, "a", 1, false)
			}
			_, update := a.RecordHeartbeat(now, "b", 1, false)
			if a.RecordHeardAgain(now, "b", b.HeardAgain(now)) || update {
				updates = append(updates, at)
			}
		}
		return updates
	}
	Convey("A daemon is updated once after each silence of the other one", t, func() {
		So(play(false), ShouldResemble, []time.Duration{2 * silenceTimeout, 4 * silenceTimeout})
	})
	Convey("A daemon that has restarted since is not asked for what its previous incarnation knew", t, func() {
		So(play(true), ShouldResemble, []time.Duration{heartbeatGap}) // at the first heartbeat that it hears
	})
	Convey("Few of many daemons are asked", t, func() {
		b := NewMemberList("b", 1)
		for _, at := range []time.Time{start, start.Add(2 * silenceTimeout)} {
			So(b.HeardAgain(at), ShouldBeEmpty)
			for i := range 3 * maxAsked {
				b.RecordHeartbeat(at, fmt.Sprint("a", i), 1, false)
			}
		}
		So(b.HeardAgain(start.Add(2*silenceTimeout)), ShouldHaveLength, maxAsked)
		So(b.HeardAgain(start.Add(2*silenceTimeout+askPeriod)), ShouldBeEmpty)
	})
}

// heartbeatGap is a time between two heartbeats at which a daemon stays live.
const heartbeatGap = silenceTimeout / 3
