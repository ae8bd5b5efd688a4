package rollout

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// The judgement is a bet against the assumption that the new version is as good as the old one.
// For each route, slice and kind of bad response, a likelihood ratio states how much likelier the
// split of the bad responses between the versions is if the new version is worse. Only the split
// counts, so that a disruption that hits both versions says nothing. The products over the slices
// are averaged over how much worse the version may be, since which slice, and on which route. As
// long as the versions are equal, the average reaches 1/x at any time with a probability of at
// most x (Ville's inequality), however often it is looked at.
const (
	// badThreshold is the average from which the version is bad: at most one false alarm in 20,000
	// roll-outs, and with finalLevel one in 10,000. The inequality holds at the ends of slices; looks
	// within a slice and quantiles that are estimated are covered by what it leaves, since an average
	// that passes the threshold mostly passes it by far.
	badThreshold = 20_000
	// finalLevel is the probability of a false alarm of the exact test that is made once, at the end.
	// It needs fewer bad responses than the average, which pays for being looked at at any time: of
	// versions that fail 30 % of the requests of one of four routes in 12 s, 51 of 100 simulated ones
	// were found without it.
	finalLevel = 0.00005
	// fewBad is the number of bad responses of the new version up to which the exact test asks whether the versions are
	// equal. With more it asks, as the average does, whether the new one is worse by more than nulls,
	// because many responses show differences that don't matter.
	fewBad = 20
	// littleEvidence is the number of responses of the new version below which the decision at
	// the end is called one on little evidence.
	littleEvidence = 50
	// littleLevel is the probability of a false alarm of the decision on little evidence. A level
	// of 1 in 10,000 needs one or two failures more.
	littleLevel = 0.002
	// littleWithin and finalWithin are the levels of these tests for the sum of comparisons within
	// slices: the probability of a false alarm if a disruption hits both versions at the end.
	littleWithin = 0.025
	finalWithin  = 0.002
	// waitingValid is how long a daemon's count of waiting requests is valid.
	waitingValid = 4 * time.Second
)

// kind is a kind of bad response.
type kind int

const (
	failed  kind = iota
	slow         // beyond 2.4 to 2.8 times the old version's median
	slowest      // beyond 2 to 2.4 times the old version's 0.9 quantile
	kinds
)

// Parameters of the kinds.
var (
	// weights of the kinds; their sum is 1.
	weights = [kinds]float64{0.6, 0.2, 0.2}
	// nulls are odds ratios that don't make a version bad. Failures come in clusters, and new
	// targets may run on slower VMs than the old ones.
	nulls = [kinds]float64{1.2, 5, 3}
	// odds are the odds ratios that are bet on, with their weights.
	odds        = [kinds][]float64{{5, 50}, {15, 100}, {10, 60}}
	oddsWeights = []float64{0.3, 0.7}
	names       = [kinds]string{"failed", "were slow", "were very slow"}
)

// Quantiles of the old version's latencies: what makes a response slow, and how many responses
// are needed to estimate it.
var quantiles = [kinds]struct {
	q           float64
	least       int
	moreBuckets int
}{slow: {0.5, 8, 6}, slowest: {0.9, 20, 5}}

// leastSlow is a latency that is never slow. Below it, the scheduling of a small VM decides.
const leastSlow = 5 * time.Millisecond

// ratioKey and ratios cache the likelihood ratios of a slice.
type ratioKey struct {
	group string
	kind  kind
}

type ratios struct {
	table table
	logs  []float64
}

// group is what the likelihood ratios are multiplied for: a route, or all routes.
type group struct {
	name   string
	routes []string
	total  [kinds]table
	strata [kinds][]table // the slices, or several that were added up
	// late is the number of strata that begin in the second half of the time before the switch phase,
	// or in that phase.
	late [kinds]int
}

const allRoutes = "all routes"

// judgement is the result of the judge.
type judgement struct {
	wealth float64 // the average
	reason string  // for its largest part
	groups []group // the first one is all routes
	limits map[string][kinds]int
}

// limits returns the bucket from which a response is slow, for each route and kind; 0 if the old
// version has too few responses.
func (p *pool) limits() map[string][kinds]int {
	sums := make(map[string]*[buckets]int)
	for _, s := range p.slices {
		for name, r := range s.routes {
			sum := sums[name]
			if sum == nil {
				sum = &[buckets]int{}
				sums[name] = sum
			}
			for b, n := range r.old.latencies {
				sum[b] += n
			}
		}
	}
	limits := make(map[string][kinds]int)
	for name, sum := range sums {
		var l [kinds]int
		for k := slow; k < kinds; k++ {
			if b, all := quantile(sum, quantiles[k].q); all >= quantiles[k].least {
				l[k] = max(b+quantiles[k].moreBuckets, int(bucketOf(leastSlow))+1)
			}
		}
		limits[name] = l
	}
	return limits
}

// tableOf returns the table of a route.
func (r *routeSum) tableOf(k kind, limit int) table {
	if k == failed {
		return table{r.new.failures, r.new.responses, r.old.failures, r.old.responses}
	}
	if limit == 0 {
		return table{}
	}
	var t table
	t.newBad, t.newAll = r.new.slow(limit)
	t.oldBad, t.oldAll = r.old.slow(limit)
	return t
}

// tableOf returns the sum of the tables of routes.
func (s *sliceSum) tableOf(routes []string, k kind, limits map[string][kinds]int) table {
	var sum table
	for _, name := range routes {
		if r := s.routes[name]; r != nil {
			sum = sum.plus(r.tableOf(k, limits[name][k]))
		}
	}
	return sum
}

// full reports whether a table has enough responses to be compared. Consecutive slices are added
// up until it has: at 2 requests a second, one slice would hold one response of the new version.
func (t table) full() bool { return t.newAll >= 4 && t.oldAll >= 12 }

// judge judges all evidence. In the slice of the switch phase, few requests or none go to the old
// version, and its responses of the slices from compareFrom on are compared, too.
func (p *pool) judge(now time.Time, switchSlice, compareFrom int) judgement {
	limits := p.limits()
	waiting := p.waiting(now)
	indices := make([]int, 0, len(p.slices))
	for i := range p.slices {
		indices = append(indices, i)
	}
	sort.Ints(indices)
	routes := make([]string, 0, len(limits))
	for name := range limits {
		routes = append(routes, name)
	}
	sort.Strings(routes)

	j := judgement{limits: limits}
	groups := []group{{name: allRoutes, routes: routes}}
	for _, name := range routes {
		groups = append(groups, group{name: "route " + name, routes: []string{name}})
	}
	var comparePast [kinds]bool
	// wealth of each group, kind and odds ratio.
	wealth := make([][kinds][]float64, len(groups))
	for g, group := range groups {
		for k := range kinds {
			wealth[g][k] = make([]float64, len(odds[k]))
			var block table
			weight, start := 0.0, 0
			for n, index := range indices {
				t, past := p.slices[index].tableOf(group.routes, k, limits), table{}
				if index == p.last && k != failed {
					t = t.plus(waiting.tableOf(group.routes, k, limits))
				}
				groups[g].total[k] = groups[g].total[k].plus(t)
				if index == switchSlice {
					if g == 0 {
						comparePast[k] = t.undisrupted()
					}
					if comparePast[k] {
						past = p.past(group.routes, k, limits, compareFrom, switchSlice)
					}
				}
				if weight == 0 {
					start = index
				}
				block = block.plus(t)
				weight += startWeight(index)
				if !block.full() && n < len(indices)-1 && index != switchSlice && indices[n+1] != switchSlice {
					continue
				}
				groups[g].strata[k] = append(groups[g].strata[k], block)
				if start >= switchSlice/2 {
					groups[g].late[k]++
				}
				logs := p.slices[index].logRatios(ratioKey{group.name, k}, block.plus(past))
				for o, log := range logs {
					w := wealth[g][k]
					w[o] = min((w[o]+weight)*math.Exp(min(log, 200)), 1e100)
				}
				block, weight = table{}, 0
			}
		}
	}
	j.groups = groups
	largest := 0.0
	for g, group := range groups {
		weight := 0.5
		if g > 0 {
			weight /= float64(len(routes))
		}
		for k := range kinds {
			part := 0.0
			for o := range odds[k] {
				part += weight * weights[k] * oddsWeights[o] * wealth[g][k][o]
			}
			j.wealth += part
			if part > largest {
				largest = part
				j.reason = group.reason(k)
			}
		}
	}
	return j
}

// startWeight is the weight of the bet that the version is bad from a slice on. The sum over all
// slices is 1.
func startWeight(index int) float64 {
	if index <= 0 {
		return 0.5
	}
	return 0.5 / float64(index*(index+1))
}

// logRatios returns the likelihood ratios of a table, from the cache if it is unchanged.
func (s *sliceSum) logRatios(key ratioKey, t table) []float64 {
	cached := s.ratios[key]
	if cached == nil || cached.table != t {
		cached = &ratios{t, t.logLikelihoodRatios(nulls[key.kind], odds[key.kind])}
		s.ratios[key] = cached
	}
	return cached.logs
}

// past returns the old version's responses of earlier slices, to be added to the table of the
// switch phase.
func (p *pool) past(routes []string, k kind, limits map[string][kinds]int, from, to int) table {
	var sum table
	for i := from; i < to; i++ {
		if s := p.slices[i]; s != nil {
			sum = sum.plus(s.tableOf(routes, k, limits))
		}
	}
	return table{oldBad: sum.oldBad, oldAll: sum.oldAll}
}

// undisrupted reports, from the table of all routes in the switch phase, whether no disruption
// hits both versions: the old version has hardly any bad responses where four or more would be
// expected if it had as many as the new one. With a weaker test, a good version was rolled back in
// 8 of 20 simulated disruptions in the switch phase of 60 s. If no request at all goes to the old
// version, there is nothing to test.
func (t table) undisrupted() bool {
	if t.oldAll == 0 {
		return t.newAll >= 30
	}
	expected := float64(t.oldAll) * float64(t.newBad) / float64(max(t.newAll, 1))
	return expected >= 4 && float64(t.oldBad) <= expected/5
}

// waiting returns the sum of the requests that wait, by route.
func (p *pool) waiting(now time.Time) *sliceSum {
	sum := &sliceSum{routes: make(map[string]*routeSum)}
	for _, s := range p.sources {
		if now.Sub(s.at) > waitingValid {
			continue
		}
		for _, r := range s.waiting {
			to := sum.route(r.Route)
			addHistogram(&to.new.unfinished, r.New.Unfinished, 1)
			addHistogram(&to.old.unfinished, r.Old.Unfinished, 1)
		}
	}
	return sum
}

// responses returns the number of responses of the new version.
func (j judgement) responses() int {
	if len(j.groups) == 0 {
		return 0
	}
	return j.groups[0].total[failed].newAll
}

// levels are the levels of an exact test, and the parts of them that its comparisons have; the sum of
// the parts is 1.
type levels struct {
	level, within      float64 // of one table, and of the slices
	allFailed, allSlow float64 // of all routes together
	oneFailed, oneSlow float64 // of each route, divided among them
	// late is the part of each of these that the responses of the second half have alone. Those of
	// before hide the failures of a version that turned bad, if the old one fails some calls, too.
	late float64
}

var (
	// littleLevels favour failures on all routes. With 2 requests a second in 60 s, one failure more
	// or less decides there; slow versions are far below any level, and one route has too few
	// responses for any.
	littleLevels = levels{level: littleLevel, within: littleWithin, allFailed: 0.75, allSlow: 0.05, oneFailed: 0.15, oneSlow: 0.05}
	// finalLevels favour failures on one route. The average finds the versions that fail on all.
	finalLevels = levels{level: finalLevel, within: finalWithin, allFailed: 0.3, allSlow: 0.05, oneFailed: 0.6, oneSlow: 0.05, late: 0.25}
)

// exact judges the sum of all slices by one table for each group and kind, and the slices one by one.
// It returns the reason against the version, empty if the old version's rate of bad responses explains
// its own. One table alone would blame a good version for a disruption in the switch phase, where the
// new version has most of the requests; within slices, a disruption says nothing.
func (j judgement) exact(parts levels) string {
	for _, g := range j.groups {
		of := [kinds]float64{failed: parts.allFailed, slow: parts.allSlow}
		if g.name != allRoutes {
			routes := float64(len(j.groups) - 1)
			of = [kinds]float64{failed: parts.oneFailed / routes, slow: parts.oneSlow / routes}
		}
		for _, k := range []kind{failed, slow} {
			strata := g.strata[k]
			if reason := exactOf(g.name, k, g.total[k], strata, parts, (1-parts.late)*of[k]); reason != "" {
				return reason
			}
			if late := strata[len(strata)-g.late[k]:]; parts.late > 0 && len(late) < len(strata) {
				var sum table
				for _, t := range late {
					sum = sum.plus(t)
				}
				if reason := exactOf(g.name+" in the second half", k, sum, late, parts, parts.late*of[k]); reason != "" {
					return reason
				}
			}
		}
	}
	return ""
}

// exactOf judges the sum of strata, and the strata one by one, at a part of the levels. It returns the
// reason against the version, or an empty string.
func exactOf(name string, k kind, t table, strata []table, parts levels, of float64) string {
	if t.newBad == 0 {
		return ""
	}
	null, reason := nulls[k], reasonOf(name, k, t)
	if k == failed {
		if t.newBad <= fewBad {
			null = 1
		}
		// Without responses of the old version, it is taken for one with ten good ones.
		if least := t.oldBad + 10; t.oldAll < least {
			t.oldAll = least
			strata = []table{t}
		}
	}
	p := tail([]table{t}, null)
	if p <= parts.level*of && tail(strata, null) <= parts.within*of {
		return fmt.Sprintf("%s (p %.1g)", reason, p)
	}
	return ""
}

// reason states the counts of a kind.
func (g group) reason(k kind) string { return reasonOf(g.name, k, g.total[k]) }

func reasonOf(name string, k kind, t table) string {
	return fmt.Sprintf("%s: %d of %d responses %s, of the old version %d of %d",
		name, t.newBad, t.newAll, names[k], t.oldBad, t.oldAll)
}
