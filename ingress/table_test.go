package ingress

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func table() *Table {
	return NewTable(Document{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Public: true},
			{Name: "long", Host: "A.example", Prefix: "/x/y/", Services: []WeightedService{{"s", 90}, {"t", 10}}},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
}

func TestMatch(t *testing.T) {
	Convey("Match selects the route of the host with the longest prefix", t, func() {
		cases := []struct{ host, path, want string }{
			{"a.example", "/x/1", "short"},
			{"a.example", "/x/y/1", "long"},
			{"A.EXAMPLE:8740", "/x/y/", "long"},
			{"a.example", "/x", ""},
			{"b.example", "/x/1", ""},
		}
		for _, c := range cases {
			r, ok := table().Match(c.host, c.path)
			So(ok, ShouldEqual, c.want != "")
			if ok {
				So(r.Name, ShouldEqual, c.want)
			}
		}
	})
}

func TestAuthorize(t *testing.T) {
	Convey("A key is required unless the route is public or there are no workspaces", t, func() {
		tab := table()
		publicRoute, _ := tab.Match("a.example", "/x/1")
		keyedRoute, _ := tab.Match("a.example", "/x/y/1")
		w, ok := tab.Authorize(keyedRoute, "k2")
		So(ok, ShouldBeTrue)
		So(w.Name, ShouldEqual, "w")
		for _, key := range []string{"", "k3"} {
			_, ok = tab.Authorize(keyedRoute, key)
			So(ok, ShouldBeFalse)
		}
		w, ok = tab.Authorize(publicRoute, "k1")
		So(ok, ShouldBeTrue)
		So(w.Name, ShouldBeEmpty)
		_, ok = NewTable(Document{}).Authorize(keyedRoute, "")
		So(ok, ShouldBeTrue)
	})
}

func TestServiceShares(t *testing.T) {
	Convey("Services are picked by weight, and the last service is picked if all weights are zero", t, func() {
		r, _ := table().Match("a.example", "/x/y/1")
		So(r.PickService(0), ShouldEqual, "s")
		So(r.PickService(0.89), ShouldEqual, "s")
		So(r.PickService(0.9), ShouldEqual, "t")
		So(r.PickService(0.999), ShouldEqual, "t")
		So((&Route{Services: []WeightedService{{"z", 0}}}).PickService(0.5), ShouldEqual, "z")
		So((&Route{}).PickService(0.5), ShouldEqual, "")
	})
}

// TestContended guards against requests that are treated as equally urgent although their
// routes differ, and against changed treatment of services whose routes don't differ.
func TestContended(t *testing.T) {
	Convey("A service is contended if routes with a weight for it differ in priority or objective", t, func() {
		to := func(weight int) []WeightedService { return []WeightedService{{"s", weight}, {"other", 1}} }
		urgent, batch, slow := Route{Services: to(1)}, Route{Priority: 2, Services: to(1)}, Route{LatencyObjective: 9, Services: to(1)}
		unused := Route{Priority: 2, Services: []WeightedService{{"s", 0}}}
		for _, c := range []struct {
			routes []Route
			want   bool
		}{
			{nil, false}, {[]Route{urgent}, false}, {[]Route{urgent, urgent}, false}, {[]Route{urgent, unused}, false},
			{[]Route{urgent, batch}, true}, {[]Route{urgent, slow}, true}, {[]Route{urgent, urgent, batch}, true},
		} {
			So(NewTable(Document{Routes: c.routes}).Contended("s"), ShouldEqual, c.want)
		}
		So(NewTable(Document{Routes: []Route{urgent, batch}}).Contended("elsewhere"), ShouldBeFalse)
	})
}
