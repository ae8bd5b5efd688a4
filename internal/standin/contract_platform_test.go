package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
)

// platformEnv is the environment variable with the URL of an object API to test
// instead of the stand-in.
const platformEnv = "VANILLAROAD_TEST_PLATFORM"

func newPlatform(t *testing.T) (*platform.Client, string) {
	base := baseURL(t, platformEnv, standin.NewPlatform().Handler())
	c := platform.NewClient(base, metrics.NewRegistry())
	t.Cleanup(c.Close)
	t.Cleanup(func() { setFaults(t, base, `{}`) })
	return c, base
}

func TestObjectAPIConditionalWrites(t *testing.T) {
	ctx := context.Background()
	c, _ := newPlatform(t)
	const kind = "contract-write"
	versions := map[int]int64{0: 0} // versions[n] is the version that the n-th write of "a" created; versions only rise
	cases := []struct {
		name     string
		object   string
		expected int // number of the write whose version the call expects; 0 for no version, -1 for a future one
		delete   bool
		want     error
		writes   int // number of the write whose version the object has afterwards; 0 if it does not exist then
	}{
		{"a new object is created", "a", 0, false, nil, 1},
		{"an existing object is not created again", "a", 0, false, objectstore.ErrConflict, 1},
		{"the current version is replaced", "a", 1, false, nil, 2},
		{"an old version is not replaced", "a", 1, false, objectstore.ErrConflict, 2},
		{"a future version is not replaced", "a", -1, false, objectstore.ErrConflict, 2},
		{"an absent object is not replaced", "b", 1, false, objectstore.ErrConflict, 0},
		{"an old version is not deleted", "a", 1, true, objectstore.ErrConflict, 2},
		{"the current version is deleted", "a", 2, true, nil, 0},
		{"a deleted object is not replaced", "a", 2, false, objectstore.ErrConflict, 0},
		{"a deleted object is created again, with a higher version", "a", 0, false, nil, 3},
		{"any version is deleted if none is given", "a", 0, true, nil, 0},
	}
	for n, s := range cases {
		Convey(s.name, t, func() {
			expected := versions[max(0, s.expected)]
			if s.expected < 0 {
				expected = versions[len(versions)-1] + 1
			}
			var err error
			if s.delete {
				err = c.Delete(ctx, kind, s.object, expected)
			} else {
				_, err = c.Put(ctx, kind, s.object, json.RawMessage(fmt.Sprint(n)), expected)
			}
			So(errors.Is(err, s.want), ShouldBeTrue)
			o, err := c.Get(ctx, kind, s.object)
			if s.writes == 0 {
				So(errors.Is(err, objectstore.ErrNotFound), ShouldBeTrue)
				return
			}
			So(err, ShouldBeNil)
			if _, known := versions[s.writes]; !known {
				So(o.Version, ShouldBeGreaterThan, versions[s.writes-1])
				versions[s.writes] = o.Version
			}
			So(o.Version, ShouldEqual, versions[s.writes])
		})
	}
	Convey("a write of the same value keeps the version", t, func() {
		created, err := c.Put(ctx, kind, "same", json.RawMessage(`1`), 0)
		So(err, ShouldBeNil)
		same, err := c.Put(ctx, kind, "same", json.RawMessage(`1`), created.Version)
		So(err, ShouldBeNil)
		So(same.Version, ShouldEqual, created.Version)
	})
}

func TestObjectAPIRefusesBadWrites(t *testing.T) {
	_, base := newPlatform(t)
	cases := []struct{ name, body string }{
		{"a value that is not JSON", `{"metadata":{"name":"a"},"spec":{`},
		{"a value larger than a mebibyte", `{"metadata":{"name":"a"},"spec":"` + strings.Repeat("x", objectstore.MaxValueBytes) + `"}`},
		{"a write without a value", `{"metadata":{"name":"a"}}`},
		{"a new object without a name", `{"metadata":{},"spec":1}`},
	}
	for _, s := range cases {
		Convey(s.name, t, func() {
			status, _ := send(t, http.MethodPost, base+"/-/objects/contract-bad", s.body)
			So(status, ShouldEqual, http.StatusBadRequest)
			status, _ = send(t, http.MethodGet, base+"/-/objects/contract-bad/a", "")
			So(status, ShouldEqual, http.StatusNotFound)
		})
	}
}

func TestObjectAPIWatch(t *testing.T) {
	ctx := context.Background()
	const kind = "contract-watch"
	Convey("a watch returns the changes after its revision in order, including deletions", t, func() {
		c, _ := newPlatform(t)
		value := 0
		put := func(name string, expected int64) objectstore.Object {
			value++
			o, err := c.Put(ctx, kind, name, json.RawMessage(fmt.Sprint(value)), expected)
			So(err, ShouldBeNil)
			return o
		}
		first := put("a", 0)
		b := put("b", 0)
		put("a", first.Version)
		So(c.Delete(ctx, kind, "b", b.Version), ShouldBeNil)
		list, revision, err := c.Watch(ctx, kind, first.Revision)
		So(err, ShouldBeNil)
		So(list, ShouldHaveLength, 2)
		So([]string{list[0].Name, list[1].Name}, ShouldResemble, []string{"a", "b"})
		So(list[1].Deleted, ShouldBeTrue)
		So(revision, ShouldEqual, list[1].Revision)

		Convey("and waits for the next change", func() {
			got := make(chan []objectstore.Object)
			go func() {
				l, _, _ := c.Watch(ctx, kind, revision)
				got <- l
			}()
			put("c", 0)
			So((<-got)[0].Name, ShouldEqual, "c")
		})
		Convey("and does not return for changes of other kinds", func() {
			got := make(chan []objectstore.Object)
			go func() {
				l, _, _ := c.Watch(ctx, kind, revision)
				got <- l
			}()
			_, err := c.Put(ctx, kind+"-other", "x", json.RawMessage(`1`), 0)
			So(err, ShouldBeNil)
			put("d", 0)
			So((<-got)[0].Name, ShouldEqual, "d")
		})
		Convey("and a list omits deleted objects", func() {
			objects, _, err := c.List(ctx, kind)
			So(err, ShouldBeNil)
			for _, o := range objects {
				So(o.Name, ShouldNotEqual, "b")
			}
		})
	})
}

func TestObjectAPIFaults(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name, faults string
		want         error
		written      bool
	}{
		{"outage", `{"down":true}`, objectstore.ErrUnavailable, false},
		{"answer lost after the write took effect", `{"lose_answers":true}`, objectstore.ErrUnknown, true},
		{"write rate limit exceeded", `{"writes_per_second":0.000001}`, objectstore.ErrUnavailable, false},
		{"slow", `{"slow_ms":1}`, nil, true},
	}
	for _, s := range cases {
		Convey(s.name, t, func() {
			c, base := newPlatform(t)
			setFaults(t, base, s.faults)
			if strings.Contains(s.faults, "writes") {
				_, err := c.Put(ctx, "contract-fault", "budget", json.RawMessage(`1`), 0)
				So(err, ShouldBeNil)
			}
			_, err := c.Put(ctx, "contract-fault", s.name, json.RawMessage(`1`), 0)
			So(errors.Is(err, s.want), ShouldBeTrue)
			setFaults(t, base, `{}`)
			_, err = c.Get(ctx, "contract-fault", s.name)
			So(err == nil, ShouldEqual, s.written)
		})
	}
	Convey("an outage ends a waiting watch", t, func() {
		c, base := newPlatform(t)
		before := callCounts(t, base)["watch"]
		result := make(chan error)
		go func() {
			_, _, err := c.Watch(ctx, "contract-outage", 0)
			result <- err
		}()
		eventually(func() bool { return callCounts(t, base)["watch"] == before+1 })
		setFaults(t, base, `{"down":true}`)
		So(errors.Is(<-result, objectstore.ErrUnavailable), ShouldBeTrue)
	})
	Convey("reads over their rate limit are refused", t, func() {
		c, base := newPlatform(t)
		setFaults(t, base, `{"reads_per_second":0.000001}`)
		_, _, err := c.List(ctx, "contract-budget")
		So(err, ShouldBeNil)
		_, _, err = c.List(ctx, "contract-budget")
		So(errors.Is(err, objectstore.ErrUnavailable), ShouldBeTrue)
	})
}

func callCounts(t *testing.T, base string) map[string]int64 {
	_, body := send(t, http.MethodGet, base+"/calls", "")
	var out map[string]int64
	if err := json.Unmarshal([]byte(body), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestObjectAPICountsCalls(t *testing.T) {
	ctx := context.Background()
	Convey("each call is counted once, including refused calls and a waiting watch", t, func() {
		c, base := newPlatform(t)
		before := callCounts(t, base)
		o, _ := c.Put(ctx, "contract-count", "a", json.RawMessage(`1`), 0)
		_, _ = c.Put(ctx, "contract-count", "a", json.RawMessage(`1`), 0)
		_, _ = c.Get(ctx, "contract-count", "a")
		_, _, _ = c.List(ctx, "contract-count")
		_, _, _ = c.Watch(ctx, "contract-count", o.Revision-1)
		_, _ = c.VMs(ctx)
		_ = c.Delete(ctx, "contract-count", "a", o.Version)
		after := callCounts(t, base)
		for method, n := range map[string]int64{"put": 2, "get": 1, "list": 1, "watch": 1, "vms": 1, "delete": 1} {
			So(after[method]-before[method], ShouldEqual, n)
		}
	})
}

func TestVMList(t *testing.T) {
	ctx := context.Background()
	const listed = `[{"id":"vm-1","address":"127.0.0.1","place":"p","region":"r"}]`
	const leaving = `[{"id":"vm-1","address":"127.0.0.1","place":"p","region":"r","leaving":true}]`
	Convey("the list is empty until the first list becomes visible", t, func() {
		c, base := newPlatform(t)
		setFaults(t, base, `{"vm_lag_ms":3600000}`)
		status, _ := send(t, http.MethodPut, base+"/vms", listed)
		So(status, ShouldEqual, http.StatusOK)
		vms, err := c.VMs(ctx)
		So(err, ShouldBeNil)
		So(vms, ShouldBeEmpty)
	})
	Convey("the list contains live and leaving VMs", t, func() {
		c, base := newPlatform(t)
		put := func(list string) {
			status, _ := send(t, http.MethodPut, base+"/vms", list)
			So(status, ShouldEqual, http.StatusOK)
		}
		read := func() objectstore.VM {
			vms, err := c.VMs(ctx)
			So(err, ShouldBeNil)
			So(vms, ShouldHaveLength, 1)
			return vms[0]
		}
		put(listed)
		So(read(), ShouldResemble, objectstore.VM{ID: "vm-1", Address: "127.0.0.1", Place: "p", Region: "r"})
		Convey("and does not show a change before its delay has passed", func() {
			setFaults(t, base, `{"vm_lag_ms":3600000}`)
			put(leaving)
			So(read().Leaving, ShouldBeFalse)
			setFaults(t, base, `{"vm_lag_ms":1}`)
		})
		Convey("and shows a change once its delay has passed", func() {
			setFaults(t, base, `{"vm_lag_ms":1}`)
			put(leaving)
			eventually(func() bool { return read().Leaving })
		})
		Convey("and cannot be read while the platform is down", func() {
			setFaults(t, base, `{"down":true}`)
			_, err := c.VMs(ctx)
			So(errors.Is(err, objectstore.ErrUnavailable), ShouldBeTrue)
		})
	})
}
