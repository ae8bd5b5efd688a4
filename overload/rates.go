package overload

import (
	"math"
	"time"
)

// rateWindow is the time constant with which counts decay. Loads change within seconds, and a
// daemon of a large fleet gets only a few requests per second.
const rateWindow = 5 * time.Second

// decaying is a count whose past decays exponentially.
type decaying struct {
	n  float64
	at time.Time
}

func (d *decaying) value(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.n * math.Exp(-max(0, now.Sub(d.at).Seconds())/rateWindow.Seconds())
}

func (d *decaying) add(now time.Time) { d.n, d.at = d.value(now)+1, now }

// rates counts recent requests by level.
type rates struct{ levels [Levels]decaying }

func (r *rates) add(now time.Time, level int) { r.levels[level].add(now) }

func (r *rates) count(now time.Time, level int) float64 { return r.levels[level].value(now) }

func (r *rates) perSecond(now time.Time, level int) float64 {
	return r.count(now, level) / rateWindow.Seconds()
}

// Parameters of fair shares.
const (
	// excessFrom is the share over a fair share from which a workspace counts as flooding.
	// Smaller differences occur by chance.
	excessFrom = 1.5
	// minShareRequests is the number of recent requests below which shares say nothing.
	minShareRequests = 8
	// activeRequests is the number of recent requests above which a workspace counts as one
	// that shares the service.
	activeRequests = 0.3
	// maxExcess bounds the effect of a flood on its own requests: 3 levels of urgency.
	maxExcess = 8
	// maxWorkspaces bounds the workspaces that are counted. Those without recent requests are
	// dropped first.
	maxWorkspaces = 1000
)

// shares counts recent requests by workspace.
type shares struct{ workspaces map[string]*decaying }

// add counts a request and returns the share of its workspace over a fair share. It is 1 unless
// a workspace is clearly above its fair share.
func (s *shares) add(now time.Time, workspace string) float64 {
	if s.workspaces == nil {
		s.workspaces = make(map[string]*decaying)
	}
	if len(s.workspaces) >= maxWorkspaces {
		for name, d := range s.workspaces {
			if d.value(now) < activeRequests || len(s.workspaces) >= 2*maxWorkspaces {
				delete(s.workspaces, name)
			}
		}
	}
	own := s.workspaces[workspace]
	if own == nil {
		own = &decaying{}
		s.workspaces[workspace] = own
	}
	own.add(now)
	total, active, most := 0.0, 0.0, 0.0
	for _, d := range s.workspaces {
		if v := d.value(now); v >= activeRequests {
			total, active, most = total+v, active+1, max(most, v)
		}
	}
	share := own.value(now) * active / max(total, 1)
	flooded := total >= minShareRequests && most*active/total >= excessFrom
	if !flooded || share >= 1 && share < excessFrom {
		return 1
	}
	return min(maxExcess, share)
}

// Parameters of averages.
const (
	// averageWeight is the weight of a new sample; about 16 samples determine the mean.
	averageWeight = 1.0 / 16
	// minRuns is the number of streams that show their usual time. The first that end after a
	// start are the short ones.
	minRuns = 8
	// assumedTokenTime is the expected time between two tokens of a stream, at a target that runs
	// several. Targets need 3 to 7 ms for a token of a stream that runs alone.
	assumedTokenTime = 10 * time.Millisecond
	// minRunTime bounds the mean time, so that failures at once don't look like free room.
	minRunTime = 100 * time.Millisecond
)

// average is the mean of recent samples.
type average struct {
	mean    float64
	samples int
}

func (a *average) add(sample float64) {
	a.samples++
	a.mean += max(averageWeight, 1/float64(a.samples)) * (sample - a.mean)
}
