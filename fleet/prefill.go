package fleet

import (
	"slices"
	"time"
)

// Parameters of the prefill rate.
const (
	// usualPrefillRate is the prefill rate of an idle engine, in tokens per millisecond, until
	// one is measured for its service. targetState.slowdown corrects it for each target.
	usualPrefillRate = 5.0
	// minPrefillRate and maxPrefillRate bound the measured rate.
	minPrefillRate, maxPrefillRate = 1.0, 50.0
	// minMeasuredPrompt is the least number of tokens of a prompt whose time to first event is
	// measured. That of a shorter one has too large a part that isn't prefill.
	minMeasuredPrompt = 1000
	// maxPrefillSamples is the number of latest samples whose median is the rate, and
	// minPrefillSamples the least number. The median ignores prompts that were cached, and
	// targets that were slow.
	maxPrefillSamples, minPrefillSamples = 31, 5
)

// prefillRate is the prefill rate of the targets of a service, learned from first events of
// targets that did nothing else.
type prefillRate struct {
	samples []float64 // tokens per millisecond
	next    int       // index of the oldest sample, once there are maxPrefillSamples
	median  float64   // 0 before there are minPrefillSamples
}

// add adds the time from the sending of a prompt to an otherwise idle target to its first
// event.
func (p *prefillRate) add(tokens int, d time.Duration) {
	if d <= 0 {
		return
	}
	rate := min(maxPrefillRate, max(minPrefillRate, float64(tokens)/(float64(d)/float64(time.Millisecond))))
	if len(p.samples) < maxPrefillSamples {
		p.samples = append(p.samples, rate)
	} else {
		p.samples[p.next] = rate
		p.next = (p.next + 1) % maxPrefillSamples
	}
	if len(p.samples) >= minPrefillSamples {
		sorted := slices.Sorted(slices.Values(p.samples))
		p.median = sorted[len(sorted)/2]
	}
}

// prefillRate returns the prefill rate of a service, in tokens per millisecond. It is learned
// only of services whose targets state their load, so that the choice among other targets
// does not change.
func (f *Fleet) prefillRate(now time.Time, service string) float64 {
	if l := f.statesLoad(now, service); l != nil && l.prefill.median > 0 {
		return l.prefill.median
	}
	return usualPrefillRate
}

// recordFirstEvent records the first event of a prompt. Its target was otherwise idle if it was
// idle before and now runs only this request.
func (f *Fleet) recordFirstEvent(now time.Time, s *targetState, r *ActiveRequest) {
	running, prefillTokens, _ := s.totalLoad()
	if l := f.statesLoad(now, s.Service); l != nil && r.idleTarget && running == 1 && prefillTokens == 0 {
		l.prefill.add(r.demand.PrefillTokens, now.Sub(r.sentAt))
	}
}

// prefillTime returns the time to prefill tokens at a rate in tokens per millisecond.
func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}
