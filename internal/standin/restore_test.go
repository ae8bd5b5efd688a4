package standin_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
)

func TestRestore(t *testing.T) {
	Convey("Given a store with writes before and after a copy", t, func() {
		ctx := context.Background()
		p := standin.NewPlatform()
		server := httptest.NewServer(p.Handler())
		defer server.Close()
		c := platform.NewClient(server.URL, metrics.NewRegistry())
		defer c.Close()
		put := func(name, value string, expected int64) objectstore.Object {
			o, err := c.Put(ctx, "k", name, json.RawMessage(value), expected)
			So(err, ShouldBeNil)
			return o
		}
		const margin = 10 * time.Millisecond
		kept := put("kept", "1", 0)
		changed := put("changed", "1", 0)
		deleted := put("deleted", "1", 0)
		_, before, err := c.List(ctx, "k")
		So(err, ShouldBeNil)
		time.Sleep(margin)
		copied := time.Now()
		time.Sleep(margin)
		put("changed", "2", changed.Version)
		So(c.Delete(ctx, "k", "deleted", deleted.Version), ShouldBeNil)
		put("lost", "1", 0)
		watched := make(chan error, 1)
		_, _, err = c.Watch(ctx, "k", before.Revision)
		So(err, ShouldBeNil)
		go func() {
			_, _, err := c.Watch(ctx, "k", before.Revision+3)
			watched <- err
		}()
		eventually(func() bool { return p.Calls()["watch"] == 2 })
		p.Restore(standin.Restoration{AgeMillis: int(time.Since(copied).Milliseconds())})

		Convey("it has the objects and the revision of the copy, in the next era", func() {
			objects, after, err := c.List(ctx, "k")
			So(err, ShouldBeNil)
			So(after, ShouldResemble, objectstore.Position{Era: before.Era + 1, Revision: before.Revision})
			So(objects, ShouldHaveLength, 3)
			for i, want := range []objectstore.Object{changed, deleted, kept} { // sorted by name
				So(objects[i].Version, ShouldEqual, want.Version)
				So(string(objects[i].Value), ShouldEqual, "1")
			}
		})
		Convey("it gives out revisions again, and a condition on a lost version fails", func() {
			So(put("other", "1", 0).Revision, ShouldEqual, before.Revision+1)
			_, err := c.Put(ctx, "k", "changed", json.RawMessage("3"), before.Revision+1)
			So(errors.Is(err, objectstore.ErrConflict), ShouldBeTrue)
		})
		Convey("a watch from a revision that it no longer has gets 410, also one that waits", func() {
			So(errors.Is(<-watched, objectstore.ErrHistoryGone), ShouldBeTrue)
			_, _, err := c.Watch(ctx, "k", before.Revision+1)
			So(errors.Is(err, objectstore.ErrHistoryGone), ShouldBeTrue)
		})
		Convey("a second restoration begins another era", func() {
			p.Restore(standin.Restoration{AgeMillis: 1})
			_, again, err := c.List(ctx, "k")
			So(err, ShouldBeNil)
			So(again.Era, ShouldEqual, before.Era+2)
		})
		Convey("while it is away, calls fail and change nothing", func() {
			done := make(chan struct{})
			go func() {
				p.Restore(standin.Restoration{AgeMillis: 1, DownMillis: 50})
				close(done)
			}()
			eventually(func() bool { _, _, err := c.List(ctx, "k"); return errors.Is(err, objectstore.ErrUnavailable) })
			<-done
			_, _, err := c.List(ctx, "k")
			So(err, ShouldBeNil)
		})
	})
}
