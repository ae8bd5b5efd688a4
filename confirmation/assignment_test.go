package confirmation

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

func drawDaemons(t *rapid.T, minCount, maxCount int) []Ref {
	count := rapid.IntRange(minCount, maxCount).Draw(t, "daemons")
	places := rapid.IntRange(1, 5).Draw(t, "places")
	out := make([]Ref, count)
	for i := range out {
		place := i % places
		out[i] = Ref{
			ID: fmt.Sprintf("vm-%03d", i), Incarnation: uint64(i + 1), Address: fmt.Sprintf("10.0.0.%d:7200", i),
			Place: fmt.Sprint("place-", place), Region: fmt.Sprint("region-", place%2),
		}
	}
	return out
}

func TestNewMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := drawDaemons(t, 2, 40)
		m, err := NewShardMap(daemons, 5)
		if err != nil {
			t.Fatal(err)
		}
		load := m.load()
		for _, s := range m.Shards {
			if s.First.ID == s.Second.ID || s.Third.ID == s.First.ID || s.Third.ID == s.Second.ID {
				t.Fatalf("shard %d names a daemon twice, want three different daemons", s.Number)
			}
			if len(daemons) > 2 && s.Third.ID == "" {
				t.Fatalf("shard %d has no third daemon, want one because there are more than two daemons", s.Number)
			}
			if s.First.Place == s.Second.Place && daemons[0].Place != daemons[1].Place {
				t.Fatalf("both daemons of the pair of shard %d are in one place, want two places", s.Number)
			}
		}
		seconds := make(map[string]bool)
		for _, s := range m.Shards {
			if s.First.ID == daemons[0].ID {
				seconds[s.Second.ID] = true
			}
		}
		if len(daemons) > 10 && len(daemons) < 30 && len(seconds) < 2 {
			t.Fatal("all shards of the first daemon have the same second daemon, want at least two")
		}
		for _, d := range daemons {
			if load[d.ID] == 0 {
				t.Fatalf("daemon %s is in no pair, want at least one", d.ID)
			}
		}
	})
}

func TestMapSize(t *testing.T) {
	Convey("A map over 760 daemons fits one platform value, and every daemon has a shard", t, func() {
		var daemons []Ref
		for i := range 760 {
			daemons = append(daemons, Ref{
				ID: fmt.Sprintf("vm-%04d", i), Incarnation: uint64(time.Now().UnixNano()), Address: fmt.Sprintf("10.%d.%d.%d:7200", 200+i%5, i/200, i%200),
				Place: fmt.Sprintf("paviljon-sever-%02d", i%14), Region: fmt.Sprintf("osrednja-%d", i%5),
			})
		}
		m, err := NewShardMap(daemons, time.Now().UnixMilli())
		So(err, ShouldBeNil)
		b, err := json.Marshal(m)
		So(err, ShouldBeNil)
		So(len(b), ShouldBeLessThan, objectstore.MaxValueBytes)
		So(m.load(), ShouldHaveLength, len(daemons))
		decoded, err := DecodeShardMap(b)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, m)
	})
}

func TestParseKey(t *testing.T) {
	Convey("Given keys", t, func() {
		Convey("an issued key is parsed back", func() {
			issued := time.UnixMilli(1_700_000_000_123)
			k, err := ParseKey(FormatKey(issued, 0xabc, "77aa"))
			So(err, ShouldBeNil)
			So(k.Issued, ShouldEqual, issued)
			So(k.Epoch, ShouldEqual, 0xabc)
			So(k.Nonce, ShouldEqual, "77aa")
		})
		for _, invalid := range []string{"", "abc", "1700000000123-77aa", "-1-1-a", "0-1-a", "1700000000123-0-a", "1700000000123-1-", "1-1-a-b"} {
			Convey("invalid: "+invalid, func() {
				_, err := ParseKey(invalid)
				So(err, ShouldNotBeNil)
			})
		}
	})
}
