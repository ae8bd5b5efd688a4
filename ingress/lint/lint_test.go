package lint

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/ingress"
)

// valid returns a configuration without findings.
func valid() ingress.Document {
	to := func(service string) []ingress.WeightedService {
		return []ingress.WeightedService{{Service: service, Weight: 1}}
	}
	return ingress.Document{
		Version: 7, RequiresKeys: true,
		Routes: []ingress.Route{
			{Name: "chat", Host: "a", Prefix: "/chat/", Kind: ingress.Streaming, Resumable: true, Services: []ingress.WeightedService{{Service: "s", Weight: 9}, {Service: "t", Weight: 0}},
				Timeout: 25 * time.Second, LatencyObjective: 2 * time.Second, MaxEventGap: 700 * time.Millisecond, MaxAttempts: 5},
			{Name: "batch", Host: "a", Prefix: "/batch/", Kind: ingress.Idempotent, Services: to("s"), Timeout: 40 * time.Second, LatencyObjective: 8 * time.Second, MaxAttempts: 3, Priority: 2},
			{Name: "book", Host: "b", Prefix: "/batch/", Services: to("t"), Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 1},
		},
		Services:   []ingress.Service{{Name: "s", Model: &ingress.Model{KVCacheTokens: 9}}, {Name: "t"}},
		Workspaces: []ingress.Workspace{{Name: "w", Keys: []string{"secret-1", "secret-2"}}, {Name: "x", Keys: []string{"secret-3"}}},
		Limits:     ingress.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// summary describes findings for comparison.
func summary(findings []Finding) string {
	var out []string
	for _, f := range findings {
		out = append(out, fmt.Sprintf("%s %s %s %d %s %d", f.Severity, f.Code, f.Subject.Kind, f.Subject.Index, f.Subject.Field, f.Subject.Item))
	}
	return strings.Join(out, "; ")
}

// TestCheck guards against a mistake that is not reported, that is reported at another entry, or
// that brings further findings with it.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		edit func(d *ingress.Document)
		want string
	}{
		"nothing": {func(*ingress.Document) {}, ""},
		"no contradiction of limits that are not configured": {func(d *ingress.Document) {
			d.Limits, d.Routes[0].Timeout, d.Routes[1].LatencyObjective = ingress.Limits{HeaderBytes: 100, HeaderTimeout: time.Second}, 0, 0
		}, ""},
		"the same host, in other case, and prefix":  {func(d *ingress.Document) { d.Routes[1].Host, d.Routes[1].Prefix = "A", "/chat/" }, "warning same_match route 1 path prefix -1"},
		"a host with a port":                        {func(d *ingress.Document) { d.Routes[2].Host = "b:80" }, "warning unmatchable_host route 2 host -1"},
		"a service that is not listed":              {func(d *ingress.Document) { d.Routes[0].Services[1].Service = "u" }, "warning unknown_service route 0 services 1"},
		"no service":                                {func(d *ingress.Document) { d.Routes[1].Services[0].Service = "" }, "warning unknown_service route 1 services 0"},
		"a service without weight anywhere":         {func(d *ingress.Document) { d.Routes[2].Services[0].Service = "s" }, "warning zero_weight route 0 services 1"},
		"a route without weights":                   {func(d *ingress.Document) { d.Routes[2].Services[0].Weight = 0 }, "warning zero_weight route 2 services -1"},
		"a service that no route names":             {func(d *ingress.Document) { d.Services = append(d.Services, ingress.Service{Name: "u"}) }, "warning unused_service service 2  -1"},
		"a repeated name of a route":                {func(d *ingress.Document) { d.Routes[2].Name = "chat" }, "warning repeated_name route 2 name -1"},
		"a repeated service":                        {func(d *ingress.Document) { d.Services = append(d.Services, d.Services[0]) }, "warning repeated_name service 2 name -1"},
		"a repeated name of a workspace":            {func(d *ingress.Document) { d.Workspaces[1].Name = "w" }, "warning repeated_name workspace 1 name -1"},
		"a workspace without keys":                  {func(d *ingress.Document) { d.Workspaces[1].Keys = nil }, "warning no_keys workspace 1 keys -1"},
		"a workspace with an empty key":             {func(d *ingress.Document) { d.Workspaces[1].Keys = []string{""} }, "warning no_keys workspace 1 keys -1"},
		"a key of two workspaces":                   {func(d *ingress.Document) { d.Workspaces[1].Keys = []string{"secret-2"} }, "warning shared_key workspace 0 keys 1"},
		"required keys without workspaces":          {func(d *ingress.Document) { d.Workspaces = nil }, "warning no_key_accepted configuration 0 workspaces -1"},
		"a timeout below the objective":             {func(d *ingress.Document) { d.Routes[0].Timeout = time.Second }, "warning timeout_below_objective route 0 timeout -1"},
		"a gap over the timeout":                    {func(d *ingress.Document) { d.Routes[0].MaxEventGap = 26 * time.Second }, "warning gap_over_timeout route 0 maximum event gap -1"},
		"attempts of a route that is not resumable": {func(d *ingress.Document) { d.Routes[0].Resumable = false }, "warning attempts_without_repeat route 0 maximum attempts -1"},
		"attempts of a non-idempotent route":        {func(d *ingress.Document) { d.Routes[2].MaxAttempts = 2 }, "warning attempts_without_repeat route 2 maximum attempts -1"},
		"a header limit over the body limit":        {func(d *ingress.Document) { d.Limits.BodyBytes = 100 }, "warning header_limit_over_body_limit limits 0 header limit -1"},
		"an idle timeout below the header timeout":  {func(d *ingress.Document) { d.Limits.IdleTimeout = time.Second }, "warning idle_timeout_below_header_timeout limits 0 idle timeout -1"},
		"a later objective of the more urgent route": {func(d *ingress.Document) { d.Routes[0].LatencyObjective = 9 * time.Second },
			"warning objective_later_than_less_urgent route 0 latency objective -1"},
	} {
		Convey("Reported: "+name, t, func() {
			d := valid()
			c.edit(&d)
			found := Check(d)
			So(summary(found), ShouldEqual, c.want)
			So(fmt.Sprint(found), ShouldNotContainSubstring, "secret")
		})
	}
}

// TestUrgency guards against a pair of routes that is missed because of others with equal or
// intermediate priority, and against a finding about routes of equal priority.
func TestUrgency(t *testing.T) {
	Convey("Each route is compared with all less urgent ones of a service that both serve", t, func() {
		for want, routes := range map[string][][2]int{ // priority and objective
			"[]":    {{1, 5}, {1, 2}, {2, 5}, {3, 0}},
			"[0 1]": {{0, 5}, {1, 9}, {2, 4}},
			"[2]":   {{2, 4}, {1, 3}, {0, 5}, {0, 3}},
		} {
			d := ingress.Document{Services: []ingress.Service{{Name: "s"}}}
			for i, r := range routes {
				d.Routes = append(d.Routes, ingress.Route{Name: fmt.Sprint(i), Prefix: fmt.Sprint("/", i), Priority: r[0], LatencyObjective: time.Duration(r[1]),
					Services: []ingress.WeightedService{{Service: "s", Weight: 1}}})
			}
			var found []int
			for _, f := range Check(d) {
				found = append(found, f.Subject.Index)
			}
			So(fmt.Sprint(found), ShouldEqual, want)
		}
	})
}

// TestCompare guards against differences that are missed or attributed to another entry, and
// against keys in the output.
func TestCompare(t *testing.T) {
	Convey("Equal configurations have no differences, whatever the order of entries and keys", t, func() {
		next := valid()
		slices.Reverse(next.Routes)
		slices.Reverse(next.Workspaces[0].Keys)
		So(Compare(valid(), next), ShouldBeEmpty)
	})
	Convey("Added, removed and changed entries are listed by kind and name", t, func() {
		next := valid()
		next.Limits.IdleTimeout, next.RequiresKeys = time.Second, false
		next.Routes[0].Timeout, next.Routes[0].Services[1].Weight = 30*time.Second, 1
		next.Routes[1].Name = "bulk"
		next.Services[0].Model = nil
		next.Workspaces[0].Keys = []string{"secret-1", "secret-4"}
		next.Workspaces[1].HasPriority = true
		var got []string
		for _, f := range Compare(valid(), next) {
			So(f.Severity, ShouldEqual, Change)
			got = append(got, f.Message)
		}
		So(got, ShouldResemble, []string{
			"limits: idle timeout 15s to 1s", "configuration: keys required true to false",
			`route "chat": services ["s":9 "t":0] to ["s":9 "t":1], timeout 25s to 30s`, `route "bulk" is added`, `route "batch" is removed`,
			`service "s": model true to false, KV cache tokens 9 to 0`,
			fmt.Sprintf(`workspace "w": keys 2 (hash %s) to 2 (hash %s)`, hashKeys([]string{"secret-2", "secret-1"}), hashKeys([]string{"secret-1", "secret-4"})),
			`workspace "x": priority that of the route to 0`,
		})
		So(hashKeys(nil), ShouldHaveLength, 8)
		So(strings.Join(got, ""), ShouldNotContainSubstring, "secret")
	})
	Convey("A version must be above the active one", t, func() {
		So(CheckVersion(7, 8), ShouldBeEmpty)
		So(summary(CheckVersion(7, 7)), ShouldEqual, "error version_not_increased configuration 0 version -1")
	})
}
