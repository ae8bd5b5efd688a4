package compare

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/routing"
	"github.com/vanillaroad/vanillaroad/target"
)

// Policy is a scheduler with the load reports that it uses.
type Policy struct {
	Name      string
	Scheduler routing.Scheduler
	ReportUse ReportUse
}

// ReportUse states how a policy uses load reports.
type ReportUse int

// ReportUse values.
const (
	NoReports       ReportUse = iota // only requests of the daemon itself
	NewestReport                     // only the newest report
	SmoothedReports                  // own requests plus the smoothed load of other daemons, see routing.Loads
)

// Policies returns the policies to compare: baselines, then the steps of the default
// scheduler, each added to the one before.
func Policies() []Policy {
	base := []routing.Filter{routing.Available{}, routing.SameVersion{}, routing.SameSystem{}}
	own := routing.Weighted{Scorer: routing.LeastInFlight{}, Weight: 1}
	load := routing.Weighted{Scorer: routing.LeastLoad{}, Weight: 1}
	prefix := routing.Weighted{Scorer: routing.CachedPrefix{}, Weight: 1}
	step := func(name string, reports ReportUse, p routing.Picker, scorers ...routing.Weighted) Policy {
		return Policy{Name: name, ReportUse: reports, Scheduler: routing.Scheduler{Filters: base, Scorers: scorers, Picker: p}}
	}
	return []Policy{
		step("random", NoReports, routing.Best{}),
		step("least own requests", NoReports, routing.Best{}, own),
		step("newest report alone", NewestReport, routing.Best{}, load),
		step("newest report, best of two", NewestReport, routing.BestOfSample{Size: 2}, load),
		step("+ load reports", SmoothedReports, routing.Best{}, load),
		step("+ prefix cache", SmoothedReports, routing.Best{}, load, prefix),
		{Name: "+ bounded imbalance (default)", ReportUse: SmoothedReports, Scheduler: routing.Default()},
	}
}

// Result has the measurements of a policy on a trace.
type Result struct {
	Policy        string
	FirstToken    *hdrhistogram.Histogram // time to first token, in microseconds
	PrefillTokens int64
	CachedTokens  int64
	PeakLoad      float64 // maximum over all engines of running and waiting requests divided by slots
}

// eventKind is the kind of a simulated event.
type eventKind int

const (
	requestArrival eventKind = iota
	prefillDone
	requestDone
	loadPoll
)

// event is a simulated event. Polls have a daemon and an engine, other events a request.
type event struct {
	at       time.Duration
	sequence int
	kind     eventKind
	request  *request
	daemon   int
	engine   int
}

// eventQueue is a heap of events ordered by time, then by sequence.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// daemon is the state of a daemon that routes requests.
type daemon struct {
	loads    *routing.Loads
	prefixes *routing.Prefixes
	inFlight []int
}

// simulation is the state of one call of Run.
type simulation struct {
	site         Site
	policy       Policy
	random       *rand.Rand
	queue        eventQueue
	nextSequence int
	remaining    int // requests that are not done
	engines      []*engine
	daemons      []*daemon
	names        []string
	targets      []configuration.Target
	sharedBlocks map[uint64]int // size of each shared prefix
	result       Result
}

// maxFirstToken is the maximum recorded time to first token in microseconds.
const maxFirstToken = int64(time.Hour / time.Microsecond)

// Run simulates a trace that is routed by one policy. The same seed gives the same
// result.
func Run(site Site, trace []Arrival, p Policy, seed uint64) Result {
	v := &simulation{
		site: site, policy: p, random: rand.New(rand.NewPCG(seed, 2)), remaining: len(trace), sharedBlocks: make(map[uint64]int),
		result: Result{Policy: p.Name, FirstToken: hdrhistogram.New(1, maxFirstToken, 3)},
	}
	for i := range site.Engines {
		name := strconv.Itoa(i)
		v.names = append(v.names, name)
		v.engines = append(v.engines, newEngine())
		v.targets = append(v.targets, configuration.Target{Name: name, Permits: site.Slots})
	}
	for d := range site.Daemons {
		v.daemons = append(v.daemons, &daemon{routing.NewLoads(), routing.NewPrefixes(), make([]int, site.Engines)})
		for e := range site.Engines {
			v.push(event{at: time.Duration(v.random.Int64N(int64(site.PollPeriod))), kind: loadPoll, daemon: d, engine: e})
		}
	}
	for _, a := range trace {
		v.sharedBlocks[a.Prefix] = a.SharedBlocks
		v.push(event{at: a.At, kind: requestArrival, request: &request{Arrival: a, daemon: sampleZipf(v.random, site.Daemons)}})
	}
	for v.remaining > 0 {
		v.handleEvent(heap.Pop(&v.queue).(event))
	}
	return v.result
}

func (v *simulation) push(e event) {
	e.sequence = v.nextSequence
	v.nextSequence++
	heap.Push(&v.queue, e)
}

// simulatedTime converts an offset from the start of the trace to a time.
func simulatedTime(at time.Duration) time.Time { return time.Unix(0, 0).Add(time.Hour + at) }

func (v *simulation) handleEvent(e event) {
	switch e.kind {
	case requestArrival:
		v.route(e.at, e.request)
	case prefillDone:
		v.firstToken(e.at, e.request)
	case requestDone:
		v.finishRequest(e.at, e.request)
	case loadPoll:
		v.poll(e)
	}
}

func (v *simulation) route(now time.Duration, r *request) {
	d := v.daemons[r.daemon]
	blocks := promptBlocks(&r.Arrival)
	candidates := make([]routing.Candidate, 0, len(v.engines))
	for i, name := range v.names {
		report, _ := d.loads.Report(name)
		candidates = append(candidates, routing.Candidate{
			Target: v.targets[i], Free: true, InFlight: d.inFlight[i], Estimated: v.estimate(d, i),
			Slots: report.Slots, CachedBlocks: d.prefixes.CachedPrefixBlocks(simulatedTime(now), name, blocks),
		})
	}
	chosen, err := v.policy.Scheduler.Pick(&routing.Request{Blocks: blocks, System: configuration.NewSystem}, candidates, v.random)
	if err != nil {
		return
	}
	r.engine, _ = strconv.Atoi(chosen.Target.Name)
	d.inFlight[r.engine]++
	v.addOwnLoad(now, r, 1)
	e := v.engines[r.engine]
	e.waiting = append(e.waiting, r)
	v.result.PeakLoad = max(v.result.PeakLoad, float64(e.running+len(e.waiting))/float64(v.site.Slots))
	v.startPrefills(now, e)
}

func (v *simulation) estimate(d *daemon, e int) float64 {
	switch v.policy.ReportUse {
	case NewestReport:
		report, _ := d.loads.Report(v.names[e])
		return float64(report.Running + report.Queued)
	case SmoothedReports:
		return d.loads.Estimate(v.names[e])
	default:
		return float64(d.inFlight[e])
	}
}

func (v *simulation) addOwnLoad(now time.Duration, r *request, delta int) {
	v.daemons[r.daemon].loads.AddOwn(simulatedTime(now), v.names[r.engine], delta)
}

// startPrefills moves waiting requests to the prefill queue while the engine has free
// slots.
func (v *simulation) startPrefills(now time.Duration, e *engine) {
	for len(e.waiting) > 0 && e.running < v.site.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		tokens := int64(r.SharedBlocks+r.OwnBlocks) * blockTokens
		var cached int64
		if e.useSharedPrefix(&r.Arrival) {
			cached = int64(r.SharedBlocks) * blockTokens
		}
		e.evict(v.site.CacheBlocks, v.sharedBlocks)
		v.result.PrefillTokens += tokens - cached
		v.result.CachedTokens += cached
		e.prefillIdleAt = max(e.prefillIdleAt, now) + time.Duration(float64(tokens-cached)/v.site.PrefillRate*float64(time.Second))
		v.push(event{at: e.prefillIdleAt, kind: prefillDone, request: r})
	}
}

func (v *simulation) firstToken(now time.Duration, r *request) {
	_ = v.result.FirstToken.RecordValue(max(1, int64((now-r.At)/time.Microsecond)))
	v.push(event{at: now + time.Duration(r.Tokens)*v.site.TokenInterval, kind: requestDone, request: r})
}

func (v *simulation) finishRequest(now time.Duration, r *request) {
	v.remaining--
	v.daemons[r.daemon].inFlight[r.engine]--
	v.addOwnLoad(now, r, -1)
	e := v.engines[r.engine]
	e.running--
	v.startPrefills(now, e)
}

func (v *simulation) poll(p event) {
	e, d := v.engines[p.engine], v.daemons[p.daemon]
	if p.at-e.reportTime > v.site.LoadLag {
		e.report = target.Load{Running: e.running, Queued: len(e.waiting), Slots: v.site.Slots}
		e.reportTime = p.at
	}
	report := e.report
	report.AgeMillis = (p.at - e.reportTime).Milliseconds()
	name := v.names[p.engine]
	d.loads.ApplyReport(simulatedTime(p.at), name, report)
	d.prefixes.Apply(simulatedTime(p.at), name, e.events[d.prefixes.LastSequence(name):])
	p.at += v.site.PollPeriod/2 + time.Duration(v.random.Int64N(int64(v.site.PollPeriod)))
	v.push(p)
}
