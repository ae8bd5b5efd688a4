package lint

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/vanillaroad/vanillaroad/ingress"
)

// checker collects the findings of one configuration.
type checker struct {
	d        *ingress.Document
	findings []Finding
}

// Check returns the warnings about a configuration.
func Check(d ingress.Document) []Finding {
	c := checker{d: &d}
	c.checkNames()
	c.checkMatches()
	c.checkServices()
	c.checkWorkspaces()
	c.checkRouteLimits()
	c.checkLimits()
	c.checkUrgency()
	return c.findings
}

func (c *checker) warn(code Code, s Subject, format string, args ...any) {
	c.findings = append(c.findings, Finding{Warning, code, s, fmt.Sprintf(format, args...)})
}

// checkNames warns of names that two entries of a kind have.
func (c *checker) checkNames() {
	check := func(kind Kind, n int, name func(i int) string, effect string) {
		first := make(map[string]bool)
		for i := range n {
			if first[name(i)] {
				c.warn(RepeatedName, entry(kind, i, name(i)).field(Name), "an earlier %s is also named %q; %s", kind, name(i), effect)
			}
			first[name(i)] = true
		}
	}
	check(Route, len(c.d.Routes), func(i int) string { return c.d.Routes[i].Name }, "logs can't tell them apart")
	check(Service, len(c.d.Services), func(i int) string { return c.d.Services[i].Name }, "only the last one takes effect")
	check(Workspace, len(c.d.Workspaces), func(i int) string { return c.d.Workspaces[i].Name }, "their requests count as those of one workspace")
}

// checkMatches warns of routes that match no request.
func (c *checker) checkMatches() {
	type match struct{ host, prefix string }
	first := make(map[match]int)
	for i := range c.d.Routes {
		r, s := &c.d.Routes[i], routeEntry(c.d, i)
		if strings.Contains(r.Host, ":") {
			c.warn(UnmatchableHost, s.field(Host), "route %q never matches: the port of a request is ignored, and the route's host %q contains a colon", r.Name, r.Host)
		}
		m := match{strings.ToLower(r.Host), r.Prefix}
		if earlier, ok := first[m]; ok {
			c.warn(SameMatch, s.field(Prefix), "route %q never matches: the earlier route %q has the same host and path prefix", r.Name, c.d.Routes[earlier].Name)
			continue
		}
		first[m] = i
	}
}

// checkServices warns of services without requests, and of routes to services that the
// configuration does not list.
func (c *checker) checkServices() {
	listed, named, served := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for i := range c.d.Services {
		listed[c.d.Services[i].Name] = true
	}
	for i := range c.d.Routes {
		r := &c.d.Routes[i]
		for _, s := range r.Services {
			named[s.Service] = true
			if s.Weight > 0 {
				served[s.Service] = true
			}
		}
		if weightless(r) {
			served[r.PickService(0)] = true
		}
	}
	reported := make(map[string]bool)
	for i := range c.d.Routes {
		r, subject := &c.d.Routes[i], routeEntry(c.d, i)
		if weightless(r) {
			c.warn(ZeroWeight, subject.field(Services), "route %q has no service with a weight above 0; all its requests go to %q, the last one", r.Name, r.PickService(0))
		}
		for j, s := range r.Services {
			switch {
			case s.Service == "":
				c.warn(UnknownService, subject.item(Services, j), "route %q names no service", r.Name)
			case !listed[s.Service]:
				c.warn(UnknownService, subject.item(Services, j), "route %q names service %q, which is not in the list of services", r.Name, s.Service)
			case !served[s.Service] && !reported[s.Service]:
				reported[s.Service] = true
				c.warn(ZeroWeight, subject.item(Services, j), "service %q gets no requests: no route gives it a weight above 0", s.Service)
			}
		}
	}
	for i := range c.d.Services {
		if name := c.d.Services[i].Name; !named[name] {
			c.warn(UnusedService, entry(Service, i, name), "no route names service %q", name)
		}
	}
}

// weightless reports whether no service of a route has a weight.
func weightless(r *ingress.Route) bool {
	for _, s := range r.Services {
		if s.Weight > 0 {
			return false
		}
	}
	return true
}

// checkWorkspaces warns of keys that don't identify one workspace. Messages must not contain
// keys.
func (c *checker) checkWorkspaces() {
	last := make(map[string]int) // workspace that a daemon finds for a key
	for i := range c.d.Workspaces {
		for _, k := range c.d.Workspaces[i].Keys {
			last[k] = i
		}
	}
	delete(last, "") // an empty key is never accepted
	for i := range c.d.Workspaces {
		w := &c.d.Workspaces[i]
		s := entry(Workspace, i, w.Name)
		if len(usableKeys(w.Keys)) == 0 {
			c.warn(NoKeys, s.field(Keys), "workspace %q has no key, so no request belongs to it", w.Name)
		}
		for j, k := range w.Keys {
			if other, ok := last[k]; ok && other != i {
				c.warn(SharedKey, s.item(Keys, j), "the key is also one of workspace %q, to which its requests belong", c.d.Workspaces[other].Name)
			}
		}
	}
	if !c.d.RequiresKeys || len(last) > 0 {
		return
	}
	for i := range c.d.Routes {
		if !c.d.Routes[i].Public {
			c.warn(NoKeyAccepted, entry(Configuration, 0, "").field(Workspaces),
				"keys are required and no workspace has one: route %q and all others that are not public refuse every request", c.d.Routes[i].Name)
			return
		}
	}
}

// usableKeys returns the keys that a daemon accepts.
func usableKeys(keys []string) []string {
	var out []string
	for _, k := range keys {
		if k != "" {
			out = append(out, k)
		}
	}
	return out
}

func (c *checker) checkRouteLimits() {
	for i := range c.d.Routes {
		r, s := &c.d.Routes[i], routeEntry(c.d, i)
		if r.Timeout > 0 && r.Timeout < r.LatencyObjective {
			c.warn(TimeoutBelow, s.field(Timeout), "route %q has a timeout of %v, below its latency objective of %v", r.Name, r.Timeout, r.LatencyObjective)
		}
		if r.Timeout > 0 && r.MaxEventGap > r.Timeout {
			c.warn(GapOverTimeout, s.field(EventGap), "route %q has a maximum event gap of %v, over its timeout of %v", r.Name, r.MaxEventGap, r.Timeout)
		}
		if r.MaxAttempts > 1 && !r.Repeatable() {
			c.warn(UnusedAttempts, s.field(Attempts), "route %q allows %d attempts, but is neither idempotent nor a resumable stream: a request that may have run is not sent again", r.Name, r.MaxAttempts)
		}
	}
}

func (c *checker) checkLimits() {
	l, s := c.d.Limits, entry(Limits, 0, "")
	if l.BodyBytes > 0 && int64(l.HeaderBytes) > l.BodyBytes {
		c.warn(HeaderOverBody, s.field(HeaderBytes), "the header limit of %d bytes is over the body limit of %d bytes", l.HeaderBytes, l.BodyBytes)
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		c.warn(IdleBelowHeader, s.field(IdleTimeout), "the idle timeout of %v is below the header timeout of %v", l.IdleTimeout, l.HeaderTimeout)
	}
}

// checkUrgency warns of routes whose objective is later than that of a less urgent route of
// the same service. It reports each route at most once, for its first such service.
func (c *checker) checkUrgency() {
	byService := make(map[string][]int)
	for i := range c.d.Routes {
		r := &c.d.Routes[i]
		if r.LatencyObjective <= 0 {
			continue
		}
		for j, s := range r.Services {
			if s.Weight > 0 && !weighsBefore(r.Services[:j], s.Service) {
				byService[s.Service] = append(byService[s.Service], i)
			}
		}
	}
	lessUrgent := make(map[string]map[int]int) // by service and route, the less urgent route with the earliest objective
	for service, routes := range byService {
		lessUrgent[service] = earliestLessUrgent(c.d.Routes, routes)
	}
	for i := range c.d.Routes {
		r := &c.d.Routes[i]
		for _, s := range r.Services {
			other, ok := lessUrgent[s.Service][i]
			if ok && c.d.Routes[other].LatencyObjective < r.LatencyObjective {
				o := &c.d.Routes[other]
				c.warn(ObjectivesReversed, routeEntry(c.d, i).field(Objective), "route %q of service %q has priority %d and an objective of %v, later than the %v of the less urgent route %q of priority %d",
					r.Name, s.Service, r.Priority, r.LatencyObjective, o.LatencyObjective, o.Name, o.Priority)
				break
			}
		}
	}
}

// weighsBefore reports whether a list has a service with a weight above 0.
func weighsBefore(services []ingress.WeightedService, name string) bool {
	for _, s := range services {
		if s.Service == name && s.Weight > 0 {
			return true
		}
	}
	return false
}

// earliestLessUrgent returns, for each of the routes with the given indexes, the less urgent one
// of them with the earliest objective. Routes of the lowest urgency have none.
func earliestLessUrgent(routes []ingress.Route, indexes []int) map[int]int {
	sort.SliceStable(indexes, func(a, b int) bool { return routes[indexes[a]].Priority > routes[indexes[b]].Priority })
	out := make(map[int]int)
	earliest, pending := None, None // among all lower urgencies, and with that of the current route
	objective := func(i int) time.Duration { return routes[i].LatencyObjective }
	for n, i := range indexes {
		if n > 0 && routes[i].Priority != routes[indexes[n-1]].Priority {
			earliest = pending
		}
		if earliest != None {
			out[i] = earliest
		}
		if pending == None || objective(i) < objective(pending) {
			pending = i
		}
	}
	return out
}
