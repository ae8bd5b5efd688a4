package exchange

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// capacityFleet is a fleet whose daemons get callers in proportion to the directory's answers.
type capacityFleet struct {
	list     []Member
	places   int
	callers  int
	monitors map[string]*CapacityMonitor
	short    map[string]bool
}

func newCapacityFleet(daemons, places, callers int) *capacityFleet {
	f := &capacityFleet{places: places, callers: callers, monitors: make(map[string]*CapacityMonitor), short: make(map[string]bool)}
	for i := range daemons {
		m := Member{ID: fmt.Sprintf("vm-%03d", i), Place: fmt.Sprint("place-", i%places)}
		f.list, f.monitors[m.ID] = append(f.list, m), &CapacityMonitor{}
	}
	return f
}

// answer returns the directory's answer to a caller at this moment.
func (f *capacityFleet) answer(caller int) []Member {
	list := WithoutShort(f.list, func(id string) bool { return f.short[id] })
	return SelectForCaller(list, fmt.Sprint("caller-", caller), fmt.Sprint("place-", caller%f.places), 64)
}

// TestBurstLeavesSmallDaemons guards against small VMs that get ever more callers while others have
// capacity: the callers of one failure domain become four times as many, a third of its VMs have a
// fifth of the capacity, and a third of the callers keep an answer three times as long as the others.
func TestBurstLeavesSmallDaemons(t *testing.T) {
	const ttl, burstFrom, end = 1, 10, 40 // seconds
	f := newCapacityFleet(90, 3, 300)
	capacity := func(i int) float64 {
		if i%3 == 0 && i/3%3 == 0 {
			return 10
		}
		return 50
	}
	answers := make(map[int][]Member)
	overFor := make(map[string]int) // seconds over the capacity, from 10 s after the burst began
	for second := range end {
		now := time.Unix(int64(second), 0)
		load := make(map[string]float64)
		for c := range f.callers {
			keep := ttl
			if c%9 < 3 {
				keep = 3 * ttl
			}
			if answers[c] == nil || (second+c)%keep == 0 {
				answers[c] = f.answer(c)
			}
			weight := 1.8
			if c%f.places == 0 && second >= burstFrom {
				weight *= 4
			}
			for _, m := range answers[c] {
				load[m.ID] += weight / float64(len(answers[c]))
			}
		}
		for i, m := range f.list {
			left := max(0, 1-load[m.ID]/capacity(i))
			f.short[m.ID], _ = f.monitors[m.ID].Update(now, left)
			if second < burstFrom && f.short[m.ID] {
				t.Fatalf("%s is short before the burst", m.ID)
			}
			if second >= burstFrom+10 && left == 0 {
				overFor[m.ID]++
			}
		}
	}
	for id, seconds := range overFor {
		if seconds > (end-burstFrom-10)/2 {
			t.Errorf("%s has no capacity left in %d of the last %d s", id, seconds, end-burstFrom-10)
		}
	}
}

// TestAllDaemonsShort guards against a directory without daemons, or with a few that get all callers,
// while most daemons are short.
func TestAllDaemonsShort(t *testing.T) {
	f := newCapacityFleet(90, 3, 1)
	calm := f.answer(0)
	for i, m := range f.list {
		f.short[m.ID] = i < 46 // more than half
	}
	if got := f.answer(0); !reflect.DeepEqual(got, calm) {
		t.Errorf("%d daemons with most of them short, want the %d as before", len(got), len(calm))
	}
	f.short[f.list[45].ID] = false
	for _, m := range f.answer(0) {
		if f.short[m.ID] {
			t.Errorf("%s is listed although it is short and half of the daemons are not", m.ID)
		}
	}
	clear(f.short)
	f.short[calm[0].ID] = true
	kept := 0
	for _, m := range f.answer(0) {
		for _, before := range calm {
			if m == before {
				kept++
			}
		}
	}
	if kept < len(calm)-1 {
		t.Errorf("a caller keeps %d of %d daemons after one became short", kept, len(calm))
	}
}

// TestFlappingCapacity guards against callers that move to and fro with a daemon whose capacity changes
// each second.
func TestFlappingCapacity(t *testing.T) {
	var m CapacityMonitor
	changes := 0
	for second := range 60 {
		left := 0.05
		if second%2 == 1 {
			left = 0.9
		}
		if _, changed := m.Update(time.Unix(int64(second), 0), left); changed {
			changes++
		}
	}
	if changes != 1 {
		t.Errorf("the state changed %d times, want once", changes)
	}
	for second := 60; second <= 65; second++ { // enough is left from second 59 on
		if short, changed := m.Update(time.Unix(int64(second), 0), 0.3); short != (second < 64) || changed != (second == 64) {
			t.Errorf("short %v, changed %v at second %d", short, changed, second)
		}
	}
}

// TestDirectoryWithoutReports guards against answers that change although no daemon is short, or only
// one that has ended was.
func TestDirectoryWithoutReports(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewMemberList("a", 1)
	for _, id := range []string{"a", "b", "c"} {
		l.Put(now, Member{ID: id})
		l.RecordHeartbeat(now, id, 1, false)
	}
	want := l.Directory(now)
	check := func(when string, left int) {
		if got, leftOut := l.DirectoryForCallers(now, false); left == 0 && !reflect.DeepEqual(got, want) || leftOut != left || len(got) != len(want)-left {
			t.Errorf("%s: %v, %d left out", when, got, leftOut)
		}
	}
	check("no reports", 0)
	l.MarkShort("b", true)
	check("b is short", 1)
	l.MarkShort("b", false)
	check("b is short no more", 0)
	l.MarkShort("b", true)
	l.Remove(now, "b", false)
	l.Put(now, Member{ID: "b"})
	l.RecordHeartbeat(now, "b", 2, false)
	check("b has started again", 0)
}

// TestDirectoryOfLeavingDaemon guards against empty answers of a daemon that stops, and against too few
// daemons in them: it counted as one that could carry callers, and was then removed.
func TestDirectoryOfLeavingDaemon(t *testing.T) {
	now := time.Unix(1000, 0)
	for others, want := range map[int]int{1: 1, 2: 1, 3: 3} { // all others but one are short, or the only one
		l := NewMemberList("a", 1)
		for i := range others + 1 {
			id := string(rune('a' + i))
			l.Put(now, Member{ID: id})
			l.RecordHeartbeat(now, id, 1, false)
			l.MarkShort(id, i == 1 || i > 2)
		}
		got, leftOut := l.DirectoryForCallers(now, true)
		if len(got) != want || leftOut != others-want || len(got) > 0 && got[0].ID == "a" {
			t.Errorf("%d others: %v, %d left out; want %d", others, got, leftOut, want)
		}
	}
}
