package configuration

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/trace"
)

var documents = rapid.Custom(func(t *rapid.T) Document {
	var d Document
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 0, 12, rapid.ID).Draw(t, "targets") {
		group := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "group")
		d.Targets = append(d.Targets, Target{Name: fmt.Sprint("t", n), Permits: rapid.IntRange(1, 3).Draw(t, "permits"), Labels: map[string]string{"g": group}})
	}
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 5, rapid.ID).Draw(t, "workspaces") {
		d.Workspaces = append(d.Workspaces, Workspace{Name: fmt.Sprint("w", n), Weight: rapid.IntRange(0, 3).Draw(t, "weight")})
	}
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 3, rapid.ID).Draw(t, "services") {
		d.Services = append(d.Services, Service{Name: fmt.Sprint("s", n), Selector: "g=" + rapid.SampledFrom([]string{"a", "b"}).Draw(t, "selector")})
	}
	if rapid.Bool().Draw(t, "released") {
		d.Released = []string{"r"}
	}
	return d.Canonical()
})

// equalDocuments reports whether two documents have the same entries and checksum.
func equalDocuments(a, b Document) bool {
	return len(Diff(a, b).ChangedEntries()) == 0 && a.Sum() == b.Sum()
}

// TestDeltasAndParts guards against deltas and parts that don't reproduce the document
// they were made from, and against snapshots that depend on how they were obtained.
func TestDeltasAndParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := documents.Draw(t, "a"), documents.Draw(t, "b")
		d := Diff(a, b)
		d.From = 1
		if !equalDocuments(d.Apply(a), b) {
			t.Fatal("document a with the delta to document b applied differs from b, want equal")
		}
		base, err := SnapshotFromHead(Head{Version: 1, Sum: a.Sum()}, a)
		if err != nil {
			t.Fatal(err)
		}
		fromDelta, err := base.ApplyDelta(Head{Version: 2, Sum: b.Sum(), Delta: &d})
		if err != nil {
			t.Fatal(err)
		}
		full, err := SnapshotFromHead(Head{Version: 2, Sum: b.Sum()}, b)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range b.Services {
			got, _ := fromDelta.Service(s.Name)
			want, _ := full.Service(s.Name)
			if encodeJSON(got.Targets) != encodeJSON(want.Targets) || encodeJSON(got.Service) != encodeJSON(want.Service) {
				t.Fatalf("service %s in the snapshot from a delta: %s, want as in the snapshot from the document: %s", s.Name, encodeJSON(got), encodeJSON(want))
			}
		}
		if len(fromDelta.targets) != len(full.targets) || len(fromDelta.workspaces) != len(full.workspaces) {
			t.Fatal("number of indexed targets or workspaces differs between the snapshots from the delta and from the document, want equal")
		}
		parts, err := Split(b, LayoutOf(b))
		if err != nil {
			t.Fatal(err)
		}
		if joined, err := Join(parts); err != nil || !equalDocuments(joined, b) {
			t.Fatal("the document joined from its parts differs from the original or joining failed, want equal and no error:", err)
		}
	})
}

func TestWrongDeltasAreRefused(t *testing.T) {
	Convey("Given a snapshot of version 3", t, func() {
		d := document(3)
		s, err := SnapshotFromHead(Head{Version: 3, Sum: d.Sum()}, d)
		So(err, ShouldBeNil)
		changed := document(4)
		delta := Diff(d, changed)
		delta.From = 3
		Convey("a delta whose result has another checksum is corrupt", func() {
			_, err := s.ApplyDelta(Head{Version: 4, Sum: d.Sum(), Delta: &delta})
			So(errors.Is(err, ErrCorrupt), ShouldBeTrue)
		})
		Convey("a delta from another version does not apply", func() {
			delta.From = 2
			_, err := s.ApplyDelta(Head{Version: 4, Sum: changed.Sum(), Delta: &delta})
			So(errors.Is(err, ErrNotNext), ShouldBeTrue)
		})
		Convey("a document whose checksum differs from the head is corrupt", func() {
			_, err := SnapshotFromHead(Head{Version: 4, Sum: 1}, changed)
			So(errors.Is(err, ErrCorrupt), ShouldBeTrue)
		})
	})
}

func TestValidate(t *testing.T) {
	validDocument := func() Document {
		d := document(2)
		d.Workspaces = []Workspace{{Name: "fair"}}
		return d
	}
	cases := []struct {
		name       string
		change     func(d *Document)
		wantErrors []string
	}{
		{"is valid", func(*Document) {}, nil},
		{"has a selector that can't be parsed", func(d *Document) { d.Services[0].Selector = "a in (" }, []string{"services[0].selector: "}},
		{"has a service without targets", func(d *Document) { d.Services[0].Selector = "s=none" }, []string{`services[0].selector: service "pisar"`}},
		{"has a service whose targets are all leaving", func(d *Document) { d.Targets[0].Leaving, d.Targets[1].Leaving = true, true }, []string{`services[0].selector: service "pisar"`}},
		{"has rules that can't be parsed or match no target", func(d *Document) {
			d.Services[0].Rules = []Rule{{Match: "=", Selector: "s=pisar"}, {Match: "a=b", Selector: "s=no"}, {Match: "a=b", Selector: "("}}
		}, []string{"services[0].rules[0].match: ", "services[0].rules[1].selector: ", "services[0].rules[2].selector: "}},
		{"has duplicate names", func(d *Document) {
			d.Workspaces = append(d.Workspaces, d.Workspaces[0])
			d.Targets[1].Name = d.Targets[0].Name
		}, []string{"workspaces[1].name: ", "targets[1].name: "}},
		{"violates the constraints of several fields", func(d *Document) {
			d.Services[0].NewShare = 101
			d.Services[0].Kind = "other"
			d.Targets[0].Permits = 0
			d.Targets[0].Address = "nowhere"
			d.Workspaces[0].Weight = -1
		}, []string{"services[0].new_share: 101", "services[0].kind: other", "targets[0].permits: 0", "targets[0].address: nowhere", "workspaces[0].weight: -1"}},
	}
	for _, c := range cases {
		Convey("A document that "+c.name, t, func() {
			d := validDocument()
			c.change(&d)
			err := d.Validate()
			if c.wantErrors == nil {
				So(err, ShouldBeNil)
				return
			}
			So(errors.Is(err, ErrInvalid), ShouldBeTrue)
			for _, f := range c.wantErrors {
				So(err.Error(), ShouldContainSubstring, f)
			}
		})
	}
}

func TestSpread(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	Convey("Given a daemon whose active version is 5", t, func() {
		s := NewSpread(SpreadMade{Seed: 1})
		So(s.Step(now, Arrived{Version: 5}), ShouldBeEmpty)
		Convey("a report of the same or an older version starts no fetch", func() {
			So(s.Step(now, Told{Version: 5, Peer: "a"}), ShouldBeEmpty)
			So(s.Step(now, Told{Version: 4, Peer: "a"}), ShouldBeEmpty)
		})
		Convey("a newer version is fetched from the peer that reported it, one fetch at a time", func() {
			So(s.Step(now, Told{Version: 7, Peer: "a"}), ShouldResemble, []SpreadDecision{Fetch{"a"}})
			So(s.Step(now, Told{Version: 7, Peer: "b"}), ShouldBeEmpty)
			Convey("then from another peer that reported it", func() {
				So(s.Step(now, FetchEnded{}), ShouldResemble, []SpreadDecision{Fetch{"b"}})
			})
			Convey("then from the platform, with exponential backoff", func() {
				So(s.Step(now, FetchEnded{}), ShouldResemble, []SpreadDecision{Fetch{"b"}})
				So(s.Step(now, FetchEnded{}), ShouldBeEmpty)
				reads := 0
				for range 240 {
					now = now.Add(TickPeriod)
					if len(s.Step(now, SpreadTick{})) > 0 {
						reads++
						s.Step(now, FetchEnded{})
					}
				}
				So(reads, ShouldBeBetween, 4, 20)
			})
			Convey("an older version that arrives later changes nothing", func() {
				s.Step(now, Arrived{Version: 7})
				So(s.Step(now, Arrived{Version: 6, Root: true}), ShouldBeEmpty)
				So(s.Step(now, Told{Version: 7, Peer: "c"}), ShouldBeEmpty)
			})
		})
		Convey("a version read from the platform is relayed once", func() {
			So(s.Step(now, Arrived{Version: 6, Root: true}), ShouldResemble, []SpreadDecision{Relay{6}})
			So(s.Step(now, Arrived{Version: 6, Root: true}), ShouldBeEmpty)
		})
	})
	Convey("A recorded run replays to the same decisions", t, func() {
		var file bytes.Buffer
		rec, err := trace.NewRecorder(&file, "vm-1")
		So(err, ShouldBeNil)
		s := NewSpread(SpreadMade{Seed: 3})
		rec.RecordInit(TraceSlice, "vm-1", now, SpreadMade{Seed: 3})
		for i := range int64(100) {
			now = now.Add(TickPeriod)
			for _, in := range []SpreadInput{Told{Version: i, Peer: fmt.Sprint("p", i%7)}, FetchEnded{}, SpreadTick{}, Arrived{Version: i / 2, Root: i%3 == 0}} {
				trace.Record(rec, TraceSlice, "vm-1", now, in, s.Step(now, in))
			}
		}
		steps, err := trace.Replay(&file, map[string]trace.MachineFactory{TraceSlice: NewReplay})
		So(err, ShouldBeNil)
		So(steps, ShouldEqual, 401)
	})
}
