package exchange

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// TestEntriesSurviveEncoding guards against entries that a peer decodes to others, below
// and above the size from which they are compressed.
func TestEntriesSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var u, decoded Update
		for range rapid.IntRange(0, 3).Draw(t, "entries") {
			u.Changed = append(u.Changed, Entry{
				Name: rapid.StringN(1, 20, -1).Draw(t, "name"), Revision: rapid.Int64().Draw(t, "revision"),
				Value: rapid.SliceOfN(rapid.Byte(), 0, 2*compressAbove).Draw(t, "value"),
			})
		}
		body, err := msgpack.Marshal(u)
		if err != nil {
			t.Fatal(err)
		}
		if err := msgpack.Unmarshal(body, &decoded); err != nil {
			t.Fatal(err)
		}
		if len(decoded.Changed) != len(u.Changed) {
			t.Fatalf("%d entries become %d", len(u.Changed), len(decoded.Changed))
		}
		for i, e := range decoded.Changed {
			if o := u.Changed[i]; e.Name != o.Name || e.Revision != o.Revision || string(e.Value) != string(o.Value) {
				t.Fatalf("entry %d changes", i)
			}
		}
	})
}

// TestBuildsMix guards against a daemon that takes a message of another build for
// something else. Large lists are compressed, which older builds can't decode.
func TestBuildsMix(t *testing.T) {
	type oldUpdate struct {
		Changed []Entry `msgpack:"c,omitempty"`
	}
	small := Entries{{Name: "a", Revision: 1, Value: []byte(`{}`)}}
	large := Entries{{Name: "a", Revision: 1, Value: make([]byte, compressAbove+1)}}
	Convey("An older build decodes small lists and reports an error for large ones", t, func() {
		for _, list := range []Entries{small, large} {
			body, err := msgpack.Marshal(Update{Changed: list})
			So(err, ShouldBeNil)
			var old oldUpdate
			err = msgpack.Unmarshal(body, &old)
			So(err == nil, ShouldEqual, len(list[0].Value) <= compressAbove)
		}
	})
	Convey("The lists of an older build are decoded", t, func() {
		for _, list := range []Entries{small, large} {
			body, err := msgpack.Marshal(oldUpdate{list})
			So(err, ShouldBeNil)
			var u Update
			So(msgpack.Unmarshal(body, &u), ShouldBeNil)
			So(u.Changed, ShouldResemble, list)
		}
	})
}

// FuzzEntries guards against a damaged list that is taken for entries without a name, or
// for more entries than were sent.
func FuzzEntries(f *testing.F) {
	for _, list := range []Entries{
		{{Name: "a", Revision: 1, Value: []byte(`{}`)}},
		{{Name: "a", Revision: 1, Value: make([]byte, compressAbove+1)}},
	} {
		body, err := msgpack.Marshal(list)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add([]byte("\xdd\xff\xff\xff\xff")) // an array of 2^32-1 elements
	f.Fuzz(func(t *testing.T, body []byte) {
		var e Entries
		if msgpack.Unmarshal(body, &e) != nil {
			return
		}
		if e.valueBytes() > maxDecodedBytes {
			t.Fatalf("%d bytes decoded", e.valueBytes())
		}
		for _, entry := range e {
			if entry.Name == "" {
				t.Fatal("an entry without a name")
			}
		}
	})
}
