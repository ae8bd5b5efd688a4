package balancemodel

import (
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// Method is a way to choose a target.
type Method struct {
	Name           string
	usesStatements bool // the daemons' fleets learn what targets state
	pick           func(m *model, d *daemon) int
}

// Methods that are compared.
var (
	// WithoutStatements is the choice of package fleet if no target states its load.
	WithoutStatements = Method{"without statements", false, pickFleet}
	// Even is the choice of package fleet if the targets state their load.
	Even = Method{"even load", true, pickFleet}
	// Uniform chooses at random.
	Uniform = Method{"uniform at random", false, func(m *model, _ *daemon) int { return m.random.IntN(len(m.targets)) }}
	// TrueSpeed chooses at random by the usual speeds of the targets, which no daemon knows.
	TrueSpeed = Method{"random by true speed", false, func(m *model, _ *daemon) int {
		var sum float64
		for _, t := range m.targets {
			sum += t.speed
		}
		point := m.random.Float64() * sum
		for i, t := range m.targets {
			if point -= t.speed; point < 0 {
				return i
			}
		}
		return 0
	}}
	// LeastLoaded chooses the least loaded target.
	LeastLoaded = Method{"least loaded", false, func(m *model, d *daemon) int { return m.least(len(m.targets), d, view.load) }}
	// BestOfTwo chooses the less loaded one of two targets drawn at random.
	BestOfTwo = Method{"best of two", false, func(m *model, d *daemon) int { return m.least(2, d, view.load) }}
	// Scaled is LeastLoaded with the daemon's sends counted once for each daemon.
	Scaled = Method{"least loaded, own sends times daemons", false, func(m *model, d *daemon) int {
		return m.least(len(m.targets), d, func(v view) float64 { return v.stated + float64(v.sentSince*len(m.daemons)) })
	}}
	// FreeCapacity chooses at random by free slots over call time.
	FreeCapacity = Method{"random by free slots over call time", false, pickFreeCapacity}

	Methods = []Method{WithoutStatements, Uniform, TrueSpeed, LeastLoaded, BestOfTwo, Scaled, FreeCapacity, Even}
)

func (v view) load() float64 { return v.stated + float64(v.sentSince) }

func pickFleet(m *model, d *daemon) int {
	t, err := d.fleet.Pick(m.clock(), fleet.Criteria{Service: service})
	if err != nil {
		panic(err) // all targets are ready
	}
	return int(t.ID[1] - '0')
}

// least returns the least loaded of n different targets drawn at random.
func (m *model) least(n int, d *daemon, load func(view) float64) int {
	order := m.random.Perm(len(m.targets))[:n]
	best := order[0]
	for _, i := range order[1:] {
		if load(d.views[i]) < load(d.views[best]) {
			best = i
		}
	}
	return best
}

func pickFreeCapacity(m *model, d *daemon) int {
	weights, sum := make([]float64, len(m.targets)), 0.0
	for i, v := range d.views {
		const least = 0.5 // slots; a target with a queue keeps a small part
		callTime := v.callTime
		if callTime == 0 {
			callTime = (minWork + maxWork).Seconds() / 2
		}
		weights[i] = max(least, float64(m.config.Slots)-v.load()) / max(callTime, float64(time.Millisecond)/float64(time.Second))
		sum += weights[i]
	}
	point := m.random.Float64() * sum
	for i, w := range weights {
		if point -= w; point < 0 {
			return i
		}
	}
	return len(weights) - 1
}
