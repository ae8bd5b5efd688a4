package fleet

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/routing"
)

// LoadStatement is the load that a target states in an answer; zero if it states none.
type LoadStatement struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on the target's VM at this moment, in multiples of
	// the usual time; 0 if not stated.
	Slowness float64
}

// Parameters of the estimates of load.
const (
	// loadMaxAge is how long a service counts as one whose targets state their load after the
	// latest statement.
	loadMaxAge = time.Minute
	// loadMeanTime is the time constant of the mean load of a service. It is short enough to
	// follow a burst of some seconds.
	loadMeanTime = time.Second
	// speedMeanTime is the time constant of what is measured of the speed of a target. A
	// daemon of a large fleet gets about one answer a second from it, and a single one
	// says little.
	speedMeanTime = 10 * time.Second
	// slownessTime is the correlation time of LoadStatement.Slowness: VMs are slow for some
	// tenths of a second.
	slownessTime = 300 * time.Millisecond
	// relaxationFactor times the mean duration of a call is the correlation time of the
	// number of requests on a target. A queue takes longer to drain than a call: with a
	// factor of 2, calls are late more often at 90 daemons, see docs/design/even-load.md.
	relaxationFactor = 8
	// maxInformationAge bounds the age of the information about a target in the count of
	// requests that are sent meanwhile.
	maxInformationAge = time.Second
	// fewCallSamples is the number of samples of a target's call time that count half, and
	// maxCallSamples the most that speedMeanTime covers.
	fewCallSamples, maxCallSamples = 4, 20
	// reportDelay is the age of a peer's report when it arrives.
	reportDelay = 2 * time.Millisecond
)

// Parameters of the correction of shares, see serviceLoad.correct.
const (
	// correctionInterval is the time between two corrections, each of which costs a logarithm
	// and an exponential a target.
	correctionInterval = 100 * time.Millisecond
	// maxCorrectionStep bounds the effect of one correction after a time without calls.
	maxCorrectionStep = time.Second
	// reportedMeanTime is the time constant of the reported requests.
	reportedMeanTime = time.Second
	// correctionTime is the time in which a target with e times the mean load loses as much
	// of its share as that. It is several times the age of reports: with 2 s, loads are
	// less even at 300 daemons (1.81 instead of 1.64 of the mean).
	correctionTime = 5 * time.Second
	// correctionKeptFor is the time constant with which corrections are forgotten.
	correctionKeptFor = 30 * time.Second
	// reactionAge is the time constant with which the immediate reaction to a report falls with
	// its age. Queues grow and drain within some tenths of a second; a reaction to an older
	// state makes loads less even.
	reactionAge = 500 * time.Millisecond
	// maxLoadRatio bounds the effect of a target that is idle, such as one that has just
	// returned, or whose queue is long.
	maxLoadRatio = 3.0
	// maxCorrection bounds the logarithm of a correction.
	maxCorrection = 2.0
)

// statedLoad is what a daemon knows of a target that states its load.
type statedLoad struct {
	latest   LoadStatement
	at       time.Time // of latest; zero if there is none
	others   float64   // requests of other daemons on the target at that time
	load     average   // requests per slot
	slowness average
	callTime average // of plain calls without the time in the target's queue, in milliseconds
	reported average // requests of all daemons per slot, by their reports
	// slowFactor is by how much a target counts as slower than its call times show; 0 before
	// the first correction. correction is the logarithm of the part that lasts.
	correction, slowFactor float64
}

// serviceLoad is what a daemon knows of the load of a service whose targets state it.
type serviceLoad struct {
	statedAt    time.Time
	statesSlow  bool      // a target has stated its slowness
	correctedAt time.Time // see correct
	others      average   // requests of other daemons per slot
	callTime    average   // see statedLoad.callTime
	prefill     prefillRate
}

// average is a moving average of samples at irregular times.
type average struct {
	mean    float64
	samples int
	at      time.Time // of the latest sample
}

// add adds a sample. Until the samples cover the time constant, all count the same.
func (a *average) add(now time.Time, sample float64, timeConstant time.Duration) {
	a.samples++
	weight := max(1/float64(a.samples), 1-decay(now.Sub(a.at), timeConstant))
	a.mean += weight * (sample - a.mean)
	a.at = now
}

// decay returns the correlation of a value with itself after an age.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(timeConstant))
}

// SetReportAge sets the maximum age of the peers' reports for the choice by stated loads. In
// contrast to that of SetStaleness, it includes the time that reports are at reporters.
func (f *Fleet) SetReportAge(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportAge = d
}

// RecordLoad records the load that an incarnation of a target states in an answer that has
// just arrived, before Done is called on its request. A zero statement is ignored. It
// reports whether the targets of the service began to state their load with it.
func (f *Fleet) RecordLoad(now time.Time, t Target, l LoadStatement) (began bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[t.ID]
	if l.Slots <= 0 || s == nil || s.StartMillis != t.StartMillis || now.Before(s.stated.at) {
		return false
	}
	service := f.serviceLoads[s.Service]
	if service == nil {
		service = &serviceLoad{}
		f.serviceLoads[s.Service] = service
	}
	began = service.statedAt.IsZero() || now.Sub(service.statedAt) > loadMaxAge
	service.statedAt = now
	s.stated.latest, s.stated.at = l, now
	s.stated.others = float64(max(0, l.Running+l.Waiting-s.running))
	slots := float64(l.Slots)
	s.stated.load.add(now, float64(l.Running+l.Waiting)/slots, speedMeanTime)
	service.others.add(now, s.stated.others/slots, loadMeanTime)
	if l.Slowness > 0 {
		service.statesSlow = true
		s.stated.slowness.add(now, l.Slowness, speedMeanTime)
	}
	return began
}

// recordCall records the duration of a plain call that a target answered.
func (f *Fleet) recordCall(now time.Time, s *targetState, d time.Duration) {
	service := f.serviceLoads[s.Service]
	if service == nil || s.stated.at.IsZero() {
		return
	}
	l := s.stated.latest
	millis := float64(d) / float64(time.Millisecond) / (1 + float64(l.Waiting)/float64(l.Slots))
	s.stated.callTime.add(now, millis, speedMeanTime)
	service.callTime.add(now, millis, speedMeanTime)
}

// LoadSpreads returns the largest over the mean load per slot of the targets of each service
// that state their load, averaged over speedMeanTime, by the answers to this daemon.
func (f *Fleet) LoadSpreads(now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	spreads := make(map[string]float64)
	for service := range f.serviceLoads {
		var sum, largest, n float64
		for _, s := range f.services[service] {
			if l := s.stated.load; l.samples > 0 && now.Sub(l.at) <= loadMaxAge {
				sum, largest, n = sum+l.mean, max(largest, l.mean), n+1
			}
		}
		if sum > 0 {
			spreads[service] = largest / (sum / n)
		}
	}
	return spreads
}

// statesLoad returns what is known of the load of a service, or nil if its targets don't
// state it together with their slowness. Targets that don't state their slowness don't share
// their VMs, and the choice among them is the one without stated loads.
func (f *Fleet) statesLoad(now time.Time, service string) *serviceLoad {
	l := f.serviceLoads[service]
	if l == nil || !l.statesSlow || now.Sub(l.statedAt) > loadMaxAge {
		return nil
	}
	return l
}

// pickEven picks one of the candidates of a plain call, see routing.EvenLoad.
func (f *Fleet) pickEven(now time.Time, service *serviceLoad, request *routing.Request, candidates []routing.Candidate) (Target, error) {
	targets, shares := f.scratchTargets[:0], f.scratchShares[:0]
	defer func() { f.scratchTargets, f.scratchShares = targets, shares }()
	var slots, ages float64
	for i := range candidates {
		if !(routing.Available{}).Keep(request, &candidates[i]) {
			continue
		}
		targets = append(targets, f.targets[candidates[i].Target.Name])
	}
	if len(targets) == 0 {
		return Target{}, errors.WithStack(routing.ErrNoTarget)
	}
	service.correct(now, f.reportAge, targets)
	for _, s := range targets {
		share, age := f.share(now, s, service)
		share.Rate *= healthFactor(s.failureRate.value(now, 0))
		shares = append(shares, share)
		slots += s.slots()
		ages += age.Seconds()
	}
	age := ages / float64(len(targets))
	others := service.others.mean * slots / service.callSeconds() * age
	picker := routing.EvenLoad{Arrivals: others + 1}
	picked := picker.Pick(shares, f.random)
	if picked < 0 { // all targets fail
		for i, s := range targets {
			shares[i].Rate = s.slots()
		}
		picked = picker.Pick(shares, f.random)
	}
	return targets[picked].Target, nil
}

// healthFactor returns the factor by which failures lower the share of a target. The fourth
// power leaves half of its share to a target that fails in 15 of 100 answers, and almost
// nothing to one that fails in half of them.
func healthFactor(failing float64) float64 {
	ok := 1 - failing
	return ok * ok * ok * ok
}

// callSeconds returns the mean duration of a plain call, in seconds.
func (l *serviceLoad) callSeconds() float64 { return max(minCallTime, l.callTime.mean/1000) }

// minCallTime is the least mean duration of a call that is used, in seconds.
const minCallTime = 1e-3

// slots returns the number of requests that a target runs at a time.
func (s *targetState) slots() float64 {
	if s.stated.latest.Slots > 0 {
		return float64(s.stated.latest.Slots)
	}
	return float64(max(1, s.Slots))
}

// share returns the expected load and rate of a target, with the age of the information. The
// requests of this daemon are known; those of others are expected to be what the target or
// the peers stated, whichever is younger, moved towards the mean of the service by age.
func (f *Fleet) share(now time.Time, s *targetState, service *serviceLoad) (share routing.Share, age time.Duration) {
	slots := s.slots()
	mean := service.others.mean * slots
	age, others := f.reportAge/2+reportDelay, float64(s.peerTotal.Running)
	if !s.stated.at.IsZero() && now.Sub(s.stated.at) < age {
		age, others = now.Sub(s.stated.at), s.stated.others
	}
	age = min(age, maxInformationAge)
	relaxation := time.Duration(relaxationFactor * service.callSeconds() * float64(time.Second))
	others = mean + (others-mean)*decay(age, relaxation)
	return routing.Share{Load: (others + float64(s.running)) / slots, Rate: slots / s.slowness(now, service)}, age
}

// correct lowers the shares of the targets that run more requests per slot than the mean of
// the service, and raises those of the others. It acts on the reports of all daemons, so
// that it finds the speeds of the targets also where a daemon gets few answers from each.
func (l *serviceLoad) correct(now time.Time, reportAge time.Duration, targets []*targetState) {
	elapsed := min(now.Sub(l.correctedAt), maxCorrectionStep)
	if elapsed < correctionInterval {
		return
	}
	l.correctedAt = now
	var mean float64
	for _, s := range targets {
		running, _, _ := s.totalLoad()
		s.stated.reported.add(now, float64(running)/s.slots(), reportedMeanTime)
		mean += s.stated.reported.mean / float64(len(targets))
	}
	if mean <= 0 {
		return
	}
	kept, reaction := decay(elapsed, correctionKeptFor), decay(reportAge, reactionAge)
	for _, s := range targets {
		deviation := math.Log(min(maxLoadRatio, max(1/maxLoadRatio, s.stated.reported.mean/mean)))
		correction := kept*s.stated.correction + elapsed.Seconds()/correctionTime.Seconds()*deviation
		s.stated.correction = min(maxCorrection, max(-maxCorrection, correction))
		s.stated.slowFactor = math.Exp(s.stated.correction + reaction*deviation)
	}
}

// slowness returns how long a plain call is expected to run on a target, in multiples of the
// service's mean.
func (s *targetState) slowness(now time.Time, service *serviceLoad) float64 {
	slow := 1.0
	if s.stated.callTime.samples > 0 && service.callTime.mean > 0 {
		n := float64(min(maxCallSamples, s.stated.callTime.samples))
		slow += (s.stated.callTime.mean/service.callTime.mean - 1) * n / (n + fewCallSamples)
	}
	if usual := s.stated.slowness.mean; usual > 0 && s.stated.latest.Slowness > 0 {
		slow *= 1 + (s.stated.latest.Slowness/usual-1)*decay(now.Sub(s.stated.at), slownessTime)
	}
	if s.stated.slowFactor > 0 {
		slow *= s.stated.slowFactor
	}
	return min(maxSlowness, max(1/maxSlowness, slow))
}

// maxSlowness bounds the estimated slowness of a target, and its inverse, so that a few odd
// samples neither exclude a target nor send all requests to it.
const maxSlowness = 8.0
