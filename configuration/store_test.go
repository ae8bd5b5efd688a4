package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// fault is the fault injected into one Put call of a memoryStore.
type fault string

const (
	none        fault = "none"
	unavailable fault = "unavailable"
	loseAnswer  fault = "lose answer"
	loseRequest fault = "lose request"
	delay       fault = "delay"   // takes effect after the next Put call
	compete     fault = "compete" // another operator's write is accepted first
	refuseReads fault = "blind"   // the answer is lost, and the next reads fail
)

// memoryStore is an in-memory store with scripted faults.
type memoryStore struct {
	objects      map[string]objectstore.Object
	script       []fault
	delayed      []func()
	refusedReads int    // number of coming reads that fail
	rival        func() // write of another operator that a compete fault runs
	reads        int    // number of Get calls
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: make(map[string]objectstore.Object)} }

func (m *memoryStore) Get(_ context.Context, kind, name string) (objectstore.Object, error) {
	m.reads++
	if m.refusedReads > 0 {
		m.refusedReads--
		return objectstore.Object{}, errors.WithStack(objectstore.ErrUnavailable)
	}
	o, ok := m.objects[kind+"/"+name]
	if !ok {
		return o, errors.WithStack(objectstore.ErrNotFound)
	}
	return o, nil
}

func (m *memoryStore) List(_ context.Context, kind string) ([]objectstore.Object, objectstore.Position, error) {
	var out []objectstore.Object
	for _, o := range m.objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, objectstore.Position{}, nil
}

func (m *memoryStore) Watch(context.Context, string, int64) ([]objectstore.Object, int64, error) {
	return nil, 0, errors.WithStack(objectstore.ErrUnavailable)
}

func (m *memoryStore) Put(_ context.Context, kind, name string, value json.RawMessage, expected int64) (objectstore.Object, error) {
	delayed := m.delayed
	m.delayed = nil
	f := none
	if len(m.script) > 0 {
		f, m.script = m.script[0], m.script[1:]
	}
	defer func() {
		for _, fn := range delayed {
			fn()
		}
	}()
	effect := func() (objectstore.Object, error) {
		key := kind + "/" + name
		if m.objects[key].Version != expected {
			return objectstore.Object{}, errors.WithStack(objectstore.ErrConflict)
		}
		m.objects[key] = objectstore.Object{Kind: kind, Name: name, Version: expected + 1, Value: value}
		return m.objects[key], nil
	}
	switch f {
	case unavailable:
		return objectstore.Object{}, errors.WithStack(objectstore.ErrUnavailable)
	case loseAnswer:
		_, _ = effect()
		return objectstore.Object{}, errors.WithStack(objectstore.ErrUnknown)
	case loseRequest:
		return objectstore.Object{}, errors.WithStack(objectstore.ErrUnknown)
	case delay:
		m.delayed = append(m.delayed, func() { _, _ = effect() })
		return objectstore.Object{}, errors.WithStack(objectstore.ErrUnknown)
	case refuseReads:
		m.refusedReads = 3
		_, _ = effect()
		return objectstore.Object{}, errors.WithStack(objectstore.ErrUnknown)
	case compete:
		if rival := m.rival; rival != nil {
			script := m.script
			m.rival, m.script = nil, nil
			rival()
			m.rival, m.script = rival, script
		}
	}
	return effect()
}

func (m *memoryStore) Delete(_ context.Context, kind, name string, expected int64) error {
	if expected != objectstore.AnyVersion && m.objects[kind+"/"+name].Version != expected {
		return errors.WithStack(objectstore.ErrNotFound)
	}
	delete(m.objects, kind+"/"+name)
	return nil
}

// clearFaults removes all faults and executes the delayed writes.
func (m *memoryStore) clearFaults() {
	m.script, m.refusedReads = nil, 0
	for _, fn := range m.delayed {
		fn()
	}
	m.delayed = nil
}

// document returns a document with one service and n targets.
func document(n int) Document {
	d := Document{Services: []Service{{Name: "pisar", Kind: Generation, Selector: "s=pisar", NewShare: 100}}}
	for i := range n {
		d.Targets = append(d.Targets, Target{Name: fmt.Sprintf("t%05d", i), Address: "10.0.0.1:80", Place: "p", Permits: 1, Labels: map[string]string{"s": "pisar"}})
	}
	return d.Canonical()
}

type writeFunc func(ctx context.Context, store objectstore.Store, c Change) (Head, error)

// writeResult is the result of one write.
type writeResult struct {
	id   string
	head Head
	err  error
}

// raceWriters runs one write per fault script. A compete fault lets another operator
// write first. raceWriters returns the first violated guarantee of Write, or nil.
func raceWriters(write writeFunc, store *memoryStore, scripts [][]fault) error {
	ctx := context.Background()
	var results []writeResult
	run := func(id string, f func(ctx context.Context) (Head, error)) {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		head, err := f(ctx)
		results = append(results, writeResult{id, head, err})
	}
	change := func(id string, base int64) Change {
		return Change{WriteID: id, Author: id, At: time.Unix(1, 0).UTC(), Document: document(len(results) + 1), BaseVersion: base}
	}
	rivals := 0
	store.rival = func() {
		rivals++
		id := fmt.Sprintf("rival-%d", rivals)
		head, _, _ := ReadHead(ctx, store)
		run(id, func(ctx context.Context) (Head, error) { return Write(ctx, store, change(id, head.Version)) })
	}
	for i, script := range scripts {
		store.clearFaults()
		head, _, err := ReadHead(ctx, store)
		if err != nil {
			return err
		}
		store.script = script
		id := fmt.Sprintf("operator-%d", i)
		run(id, func(ctx context.Context) (Head, error) { return write(ctx, store, change(id, head.Version)) })
	}
	store.clearFaults()
	return checkGuarantees(ctx, store, results)
}

func checkGuarantees(ctx context.Context, store objectstore.Store, results []writeResult) error {
	entries, err := History(ctx, store)
	if err != nil {
		return err
	}
	accepted := make(map[string]int64)
	for i, e := range entries {
		if e.Version != entries[0].Version-int64(i) {
			return errors.Errorf("history lists version %d after version %d, want versions that decrease by 1", entries[i].Version, entries[i-1].Version)
		}
		accepted[e.WriteID] = e.Version
	}
	for _, r := range results {
		version, found := accepted[r.id]
		switch {
		case r.err == nil && version != r.head.Version:
			return errors.Errorf("write %s returned version %d, but the history has this write as version %d (0 if missing); want the returned version", r.id, r.head.Version, version)
		case (errors.Is(r.err, objectstore.ErrConflict) || errors.Is(r.err, objectstore.ErrUnavailable)) && found:
			return errors.Errorf("write %s returned error %v, but the history has this write as version %d; want a write with this error not accepted", r.id, r.err, version)
		}
	}
	for _, e := range entries {
		if _, err := ReadVersion(ctx, store, e.Version); err != nil {
			return err
		}
	}
	return nil
}

var faultScripts = rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom(
	[]fault{none, none, unavailable, loseAnswer, loseRequest, delay, compete, refuseReads}), 0, 12), 1, 5)

// TestRacingWritersUnderFaults guards against lost versions and wrong results of writes
// when operators write concurrently and answers of the platform are lost.
func TestRacingWritersUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		scripts := faultScripts.Draw(r, "scripts")
		var violation error
		synctest.Test(t, func(*testing.T) { violation = raceWriters(Write, newMemoryStore(), scripts) })
		if violation != nil {
			r.Fatal(violation)
		}
	})
}

// unconditionalStore is deliberately broken: it ignores the expected object version
// when the head is written.
type unconditionalStore struct{ *memoryStore }

func (u unconditionalStore) Put(ctx context.Context, kind, name string, value json.RawMessage, expected int64) (objectstore.Object, error) {
	if kind == ObjectKind {
		expected = u.objects[kind+"/"+name].Version
	}
	return u.memoryStore.Put(ctx, kind, name, value, expected)
}

// sizeLimitedStore rejects large values, like the client of the platform.
type sizeLimitedStore struct{ *memoryStore }

func (s sizeLimitedStore) Put(ctx context.Context, kind, name string, value json.RawMessage, expected int64) (objectstore.Object, error) {
	if len(value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, errors.New("too large")
	}
	return s.memoryStore.Put(ctx, kind, name, value, expected)
}

// singleReadBackStore is deliberately broken: if the outcome of a write is unknown,
// it reads the object back once and, if that is unchanged, reports that nothing was
// written.
type singleReadBackStore struct{ *memoryStore }

func (s singleReadBackStore) Put(ctx context.Context, kind, name string, value json.RawMessage, expected int64) (objectstore.Object, error) {
	o, err := s.memoryStore.Put(ctx, kind, name, value, expected)
	if errors.Is(err, objectstore.ErrUnknown) && s.objects[kind+"/"+name].Version == expected {
		return o, errors.WithStack(objectstore.ErrUnavailable)
	}
	return o, err
}

// TestBrokenWritersAreCaught guards against a checkGuarantees that misses violations.
// The mutants are deliberately broken writers.
func TestBrokenWritersAreCaught(t *testing.T) {
	mutants := map[string]writeFunc{
		"reports an unknown outcome as not written": func(ctx context.Context, store objectstore.Store, c Change) (Head, error) {
			head, err := Write(ctx, store, c)
			if errors.Is(err, objectstore.ErrUnknown) {
				err = objectstore.ErrUnavailable
			}
			return head, err
		},
		"writes without checking the expected version": func(ctx context.Context, store objectstore.Store, c Change) (Head, error) {
			return Write(ctx, unconditionalStore{store.(*memoryStore)}, c)
		},
		"relies on a single read back": func(ctx context.Context, store objectstore.Store, c Change) (Head, error) {
			return Write(ctx, singleReadBackStore{store.(*memoryStore)}, c)
		},
	}
	synctest.Test(t, func(t *testing.T) {
		const tries = 300
		for name, m := range mutants {
			var violation error
			for seed := 0; seed < tries && violation == nil; seed++ {
				violation = raceWriters(m, newMemoryStore(), faultScripts.Example(seed))
			}
			if violation == nil {
				t.Errorf("raceWriters found no violation by a writer that %s, want one", name)
			}
		}
	})
}

func TestWrite(t *testing.T) {
	ctx := context.Background()
	write := func(store objectstore.Store, id string, base int64, d Document) (Head, error) {
		return Write(ctx, store, Change{WriteID: id, Author: id, Document: d, BaseVersion: base})
	}
	Convey("Given a store with one accepted version", t, func() {
		store := newMemoryStore()
		_, err := write(store, "ana", 0, document(500))
		So(err, ShouldBeNil)
		Convey("a change based on an old version is a conflict that names the accepted version", func() {
			_, err := write(store, "bor", 0, document(1))
			var conflict *ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Winner.Author, ShouldEqual, "ana")
			So(err.Error(), ShouldContainSubstring, `version 1 by "ana"`)
		})
		Convey("a part that exceeds the size limit of a value is reported as not written", func() {
			d := document(1)
			d.Services[0].Rules = []Rule{{Match: strings.Repeat("x", objectstore.MaxValueBytes), Selector: "s=pisar"}}
			_, err := write(sizeLimitedStore{store}, "big", 1, d)
			So(errors.Is(err, ErrNotWritten), ShouldBeTrue)
		})
		Convey("a retried change is accepted only once", func() {
			head, err := write(store, "ana", 0, document(500))
			So(err, ShouldBeNil)
			So(head.Version, ShouldEqual, 1)
		})
		Convey("a change of one target writes one part, the manifest and the head", func() {
			objectsBefore := len(store.objects)
			d := document(500)
			d.Targets[7].Permits = 2
			_, err := write(store, "ana-2", 1, d)
			So(err, ShouldBeNil)
			So(len(store.objects)-objectsBefore, ShouldEqual, 2)
			Convey("and reads only the head and the manifest if the base version is cached", func() {
				store.reads = 0
				_, err := Write(ctx, store, Change{WriteID: "w", Document: document(500), BaseVersion: 2, CachedDocument: &d})
				So(err, ShouldBeNil)
				So(store.reads, ShouldEqual, 2)
			})
		})
		Convey("after many versions the store contains only the retained ones, all readable", func() {
			for v := int64(1); v < 100; v++ {
				d := document(500)
				d.Targets[v].Permits = 2
				_, err := write(store, fmt.Sprint("w", v), v, d)
				So(err, ShouldBeNil)
			}
			entries, err := History(ctx, store)
			So(err, ShouldBeNil)
			So(len(entries), ShouldEqual, HistoryLen)
			for _, e := range entries {
				d, err := ReadVersion(ctx, store, e.Version)
				So(err, ShouldBeNil)
				So(d.Targets[e.Version-1].Permits, ShouldEqual, 2)
			}
			m, _ := readManifest(ctx, store, Ref{Name: entries[0].Manifest})
			So(len(store.objects), ShouldBeLessThanOrEqualTo, 1+len(m.Parts)+HistoryLen*3)
			_, err = ReadVersion(ctx, store, 1)
			So(errors.Is(err, ErrNoVersion), ShouldBeTrue)
			Convey("and Sweep deletes old unreferenced parts, but no recent ones", func() {
				for _, name := range []string{partName(2, "dead", 0), partName(99, "young", 0)} {
					_, err := store.Put(ctx, PartKind, name, []byte(`{}`), 0)
					So(err, ShouldBeNil)
				}
				n, err := Sweep(ctx, store)
				So(err, ShouldBeNil)
				So(n, ShouldEqual, 1)
				_, err = ReadVersion(ctx, store, entries[0].Version)
				So(err, ShouldBeNil)
			})
		})
	})
	Convey("A document of 10,000 targets and 9,200 workspaces exceeds the size limit of a value and is stored", t, func() {
		store := newMemoryStore()
		d := document(10_000)
		for i := range 9200 {
			d.Workspaces = append(d.Workspaces, Workspace{Name: fmt.Sprintf("w%05d", i), Weight: 1})
		}
		d = d.Canonical()
		So(len(encodeJSON(d)), ShouldBeGreaterThan, objectstore.MaxValueBytes)
		head, err := write(store, "ana", 0, d)
		So(err, ShouldBeNil)
		for _, o := range store.objects {
			So(len(o.Value) < objectstore.MaxValueBytes, ShouldBeTrue)
		}
		empty, _ := NewSnapshot(0, Document{})
		s, err := Load(ctx, store, head, empty)
		So(err, ShouldBeNil)
		So(s.Document.Sum(), ShouldEqual, d.Sum())
	})
}
