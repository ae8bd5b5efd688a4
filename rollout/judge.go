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
	// badThreshold is the average from which the version is bad. It stands for at most one false
	// alarm in 20,000 roll-outs; the other half of the bound of one in 10,000 is for what the
	// model leaves out: looks within a slice, and quantiles that are estimated.
	badThreshold = 20_000
	// littleEvidence is the number of responses of the new version below which the decision at
	// the end is called one on little evidence.
	littleEvidence = 30
	// littleLevel is the probability of a false alarm of the decision on little evidence. A level
	// of 1 in 10,000 needs five failures of ten; this one needs three of ten beside 60 good ones.
	littleLevel = 0.002
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
	route string
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
}

// judgement is the result of the judge.
type judgement struct {
	wealth float64 // the average
	reason string  // for its largest part
	total  [kinds]table
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

// tableOf returns the table of a route in a slice.
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
	groups := []group{{"all routes", routes}}
	for _, name := range routes {
		groups = append(groups, group{"route " + name, []string{name}})
	}
	// wealth of each group, kind and odds ratio, with the weight of the bets begun so far.
	wealth := make([][kinds][]float64, len(groups))
	totals := make([][kinds]table, len(groups))
	for g := range wealth {
		for k := range kinds {
			wealth[g][k] = make([]float64, len(odds[k]))
		}
	}
	logs := make(map[ratioKey][]float64, len(routes)*int(kinds))
	tables := make(map[ratioKey]table, len(routes)*int(kinds))
	for _, index := range indices {
		sum := p.slices[index]
		for _, name := range routes {
			for k := range kinds {
				key := ratioKey{name, k}
				limit := limits[name][k]
				var t table
				if r := sum.routes[name]; r != nil {
					t = r.tableOf(k, limit)
				}
				if index == p.last && k != failed && limit > 0 {
					t = t.plus(waiting[name].tableOf(k, limit))
				}
				tables[key] = t
				if index == switchSlice {
					t = p.withPast(t, name, k, limit, compareFrom, switchSlice)
				}
				logs[key] = sum.logRatios(key, t)
			}
		}
		for g, group := range groups {
			for k := range kinds {
				for o := range odds[k] {
					log := 0.0
					for _, name := range group.routes {
						log += logs[ratioKey{name, k}][o]
					}
					w := wealth[g][k]
					w[o] = min((w[o]+startWeight(index))*math.Exp(min(log, 200)), 1e100)
				}
				for _, name := range group.routes {
					totals[g][k] = totals[g][k].plus(tables[ratioKey{name, k}])
				}
			}
		}
	}
	j.total = totals[0]
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
				t := totals[g][k]
				j.reason = fmt.Sprintf("%s: %d of %d responses %s, of the old version %d of %d",
					group.name, t.newBad, t.newAll, names[k], t.oldBad, t.oldAll)
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

// withPast adds the old version's responses of earlier slices to the table of the switch phase,
// unless the old version has bad responses now to a similar part: then a disruption hits both.
func (p *pool) withPast(t table, name string, k kind, limit, from, to int) table {
	if t.newAll == 0 || t.oldAll >= 5 && float64(t.oldBad)*float64(t.newAll) >= 0.4*float64(t.newBad)*float64(t.oldAll) {
		return t
	}
	for i := from; i < to; i++ {
		if s := p.slices[i]; s != nil && s.routes[name] != nil {
			past := s.routes[name].tableOf(k, limit)
			t.oldBad += past.oldBad
			t.oldAll += past.oldAll
		}
	}
	return t
}

// waiting returns the sum of the requests that wait, by route.
func (p *pool) waiting(now time.Time) map[string]*routeSum {
	sum := sliceSum{routes: make(map[string]*routeSum)}
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
	for _, s := range p.slices {
		for name := range s.routes {
			sum.route(name)
		}
	}
	return sum.routes
}

// little judges few responses at the end of a roll-out by all slices together. It returns the
// reason against the version, empty if the old version's rate of failures explains its own.
func (j judgement) little() string {
	for _, k := range []kind{failed, slow} {
		t := j.total[k]
		if t.newBad == 0 {
			continue
		}
		if k == failed {
			// Without responses of the old version, it is taken for one with ten good ones.
			t.oldAll = max(t.oldAll, t.oldBad+10)
		}
		if p := t.tail(); p <= littleLevel {
			return fmt.Sprintf("little evidence: %d of %d responses %s, of the old version %d of %d (p %.1g)",
				t.newBad, t.newAll, names[k], j.total[k].oldBad, j.total[k].oldAll, p)
		}
	}
	return ""
}
