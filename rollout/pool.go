package rollout

import (
	"math"
	"time"
)

// pool holds the evidence of all daemons and its sums.
type pool struct {
	sources map[string]*source
	slices  map[int]*sliceSum
	last    int  // index of the latest slice with a response
	changed bool // since the last judgement
}

// source is the evidence of one daemon.
type source struct {
	incarnation, sequence uint64
	slices                map[int][]RouteCounts
	waiting               []RouteCounts
	at                    time.Time
}

// sliceSum is the sum of one slice over all daemons.
type sliceSum struct {
	routes map[string]*routeSum
	broken map[brokenTarget]bool // counted targets; false if the slice before has it
	ratios map[ratioKey]*ratios
}

type brokenTarget struct {
	isNew bool
	hash  uint32
}

type routeSum struct{ new, old sideSum }

func (r *routeSum) side(isNew bool) *sideSum {
	if isNew {
		return &r.new
	}
	return &r.old
}

type sideSum struct {
	responses, failures   int
	latencies, unfinished [buckets]int
}

func newPool() *pool {
	return &pool{sources: make(map[string]*source), slices: make(map[int]*sliceSum)}
}

// keptSlices is the number of slices that are kept. A roll-out of up to four minutes has fewer.
const keptSlices = 40

// at returns the sums of a slice, nil if it is older than the kept ones.
func (p *pool) at(index int) *sliceSum {
	if s := p.slices[index]; s != nil {
		return s
	}
	if index <= p.last-keptSlices {
		return nil
	}
	s := &sliceSum{
		routes: make(map[string]*routeSum),
		broken: make(map[brokenTarget]bool),
		ratios: make(map[ratioKey]*ratios),
	}
	p.slices[index] = s
	if index > p.last {
		p.last = index
		for i := range p.slices {
			if i <= index-keptSlices {
				delete(p.slices, i)
				for _, source := range p.sources {
					delete(source.slices, i)
				}
			}
		}
	}
	return s
}

func (s *sliceSum) route(name string) *routeSum {
	r := s.routes[name]
	if r == nil {
		r = &routeSum{}
		s.routes[name] = r
	}
	return r
}

// source returns the evidence of a daemon, nil if evidence with this number is not newer.
func (p *pool) source(daemon string, incarnation, sequence uint64) *source {
	s := p.sources[daemon]
	if s == nil || incarnation > s.incarnation {
		// What an earlier process of the daemon counted stays in the sums.
		s = &source{incarnation: incarnation, slices: make(map[int][]RouteCounts)}
		p.sources[daemon] = s
	} else if incarnation < s.incarnation || sequence <= s.sequence {
		return nil
	}
	s.sequence = sequence
	return s
}

// replace replaces a slice of a daemon.
func (p *pool) replace(s *source, slice Slice) {
	sum := p.at(slice.Index)
	if sum == nil {
		return
	}
	p.changed = true
	for _, r := range s.slices[slice.Index] {
		to := sum.route(r.Route)
		to.new.add(r.New, -1)
		to.old.add(r.Old, -1)
	}
	s.slices[slice.Index] = slice.Routes
	for _, r := range slice.Routes {
		to := sum.route(r.Route)
		to.new.add(r.New, 1)
		to.old.add(r.Old, 1)
		for _, hash := range r.New.Broken {
			p.countBroken(slice.Index, r.Route, brokenTarget{true, hash})
		}
		for _, hash := range r.Old.Broken {
			p.countBroken(slice.Index, r.Route, brokenTarget{false, hash})
		}
	}
}

func (s *sideSum) add(c Counts, sign int) {
	s.responses += sign * int(c.Responses)
	s.failures += sign * int(c.Failures)
	addHistogram(&s.latencies, c.Latencies, sign)
	addHistogram(&s.unfinished, c.Unfinished, sign)
}

func addHistogram(sum *[buckets]int, h Histogram, sign int) {
	for i := 0; i+1 < len(h); i += 2 {
		sum[min(h[i], buckets-1)] += sign * int(h[i+1])
	}
}

// countBroken counts a target that lost connections as one failure of one route, unless the
// target has done so in this slice or was counted in the one before.
func (p *pool) countBroken(index int, route string, t brokenTarget) {
	sum := p.slices[index]
	if _, known := sum.broken[t]; known {
		return
	}
	if before := p.slices[index-1]; before != nil && before.broken[t] {
		sum.broken[t] = false
		return
	}
	sum.broken[t] = true
	side := sum.route(route).side(t.isNew)
	side.responses++
	side.failures++
}

// waits reports whether requests wait.
func (p *pool) waits(now time.Time) bool {
	for _, s := range p.sources {
		if len(s.waiting) > 0 && now.Sub(s.at) <= waitingValid {
			return true
		}
	}
	return false
}

// atLeast returns the sum of the buckets from one on.
func atLeast(h *[buckets]int, bucket int) int {
	sum := 0
	for _, n := range h[min(bucket, buckets):] {
		sum += n
	}
	return sum
}

// slow returns how many requests took at least as long as a bucket, and of how many it is known
// whether they did.
func (s *sideSum) slow(bucket int) (slow, all int) {
	slow = atLeast(&s.latencies, bucket) + atLeast(&s.unfinished, bucket)
	return slow, slow + atLeast(&s.latencies, 0) - atLeast(&s.latencies, bucket)
}

// quantile returns the bucket that holds a quantile of a histogram, and the sum of all buckets.
func quantile(h *[buckets]int, q float64) (bucket, all int) {
	all = atLeast(h, 0)
	rest := int(math.Ceil(q * float64(all)))
	for b, n := range h {
		if rest -= n; rest <= 0 {
			return b, all
		}
	}
	return buckets - 1, all
}
