// Package overload decides at a daemon which new streams to send, to hold for a short time or
// to refuse while the targets of a service are busy. The decision follows from an estimate of
// when a stream would get its first event. Time, load and random numbers are inputs; the types
// use no clock, goroutine or socket, and callers serialize access to them.
//
// Many daemons decide at the same time on nearly the same knowledge. Each decision is therefore
// a probability, so that all daemons together send about what there is room for.
package overload

import (
	"math"
	"time"
)

// Levels is the number of levels of urgency; 0 is the most urgent.
const Levels = 10

// Parameters of the decision.
const (
	// refuseFrom and refuseAll are the estimated times to the first event, as fractions of the
	// time that is useful, between which the probability of a refusal rises from 0 to 1. The
	// range keeps daemons with nearly the same estimate from refusing all or nothing.
	refuseFrom, refuseAll = 0.4, 1.0
	// minFreeShare is the share of free slots above which nothing is refused, also if memory or
	// prefill is used up. It is below a half by what the estimate is off at most.
	minFreeShare = 0.495
	// freePerSecond is how much it is lowered per second of the age of the knowledge.
	freePerSecond = 0.03
	// maxHold is the longest time for which a request is held before it is sent to a target
	// without room, as a fraction of the time that is useful. Later, the target's queue would
	// begin the request too late.
	maxHold = 0.6
	// minUseful is the smallest part of an objective that is granted for the wait. A long
	// prompt can't meet a short objective even on idle targets, which is no reason to refuse
	// it more often than others.
	minUseful = 0.5
	// agingWeight reduces the probability of a refusal for a caller that has waited for its
	// whole objective before: to 1/(1+agingWeight).
	agingWeight = 2.0
	// shareWeight is the exponent of a workspace's share in the probability of a refusal. A
	// daemon of a large fleet sees few requests of each workspace and underestimates a flood.
	shareWeight = 2
	// maxAging bounds the levels that a request gains by waiting.
	maxAging = 2.0
	// maxAhead bounds the estimate of a wait, so that a rate of nearly 0 gives no overflow.
	maxAhead = 10 * time.Minute
	// minRateShare is the part of the rate at which room appears that less urgent requests are
	// assumed to get at least, however many more urgent ones arrive.
	minRateShare = 0.05
)

// Request is a new stream, without an event so far.
type Request struct {
	Priority  int // of the route or workspace; 0 is the most urgent
	Objective time.Duration
	Timeout   time.Duration // of the route
	Received  time.Time
	Deadline  time.Time // zero if there is none
	Prompt    int       // tokens to prefill
	Memory    int       // tokens of prompt and output
	Output    int       // tokens to write at most; 0 if not known
	Workspace string
}

// Action is what to do with a request.
type Action int

// Actions.
const (
	// Send means to send the request to a target with room.
	Send Action = iota
	// SendAnyway means to send it to the best target, which may queue it.
	SendAnyway
	// Hold means to decide again after Decision.Again.
	Hold
	Refuse
)

// Decision is a decision on a request.
type Decision struct {
	Action     Action
	Again      time.Duration // of Hold
	RetryAfter time.Duration // of Refuse
	Wait       time.Duration // estimated until there is room
	Useful     time.Duration // of the wait; 0 if there is no limit
	Level      int
}

// Controller decides for the requests of one service at one daemon.
type Controller struct {
	held     []*Ticket // by rank, then age
	arrivals rates     // of each level
	shares   shares    // of the workspaces
	refused  rates     // of each level
	runs     average   // times of streams at targets, in seconds
	assumed  average   // times that new streams are expected to take, in seconds
	prompts  average   // tokens
	memory   average   // tokens
}

// NewController returns a controller without held requests.
func NewController() *Controller { return &Controller{} }

// Arrive decides on a new request. random returns uniform numbers in [0, 1). The ticket must be
// ended with Leave once the request was sent or its caller has left.
func (c *Controller) Arrive(now time.Time, r Request, l Load, random func() float64) (*Ticket, Decision) {
	excess := c.shares.add(now, r.Workspace)
	c.prompts.add(float64(r.Prompt))
	c.memory.add(float64(r.Memory))
	if r.Output > 0 {
		c.assumed.add(r.assumedRunTime().Seconds())
	}
	t := &Ticket{request: r, waited: r.waited()}
	t.rank = float64(r.Priority) - min(maxAging, t.waited)
	if l.Room < 1 {
		t.rank += math.Log2(max(1, excess))
	}
	c.arrivals.add(now, t.level())
	c.hold(t)
	d := c.decide(now, t, l, random)
	if d.Action != Hold {
		return t, d
	}
	if p := c.refusal(now, t, d, l, excess); random() < p {
		c.Leave(t)
		d.Action, d.RetryAfter = Refuse, c.retryAfter(now, t, d, l, random)
		c.refused.add(now, t.level())
	}
	return t, d
}

// Reconsider decides again on a held request. It is not refused any more: a caller that is
// refused at once can turn elsewhere sooner.
func (c *Controller) Reconsider(now time.Time, t *Ticket, l Load, random func() float64) Decision {
	return c.decide(now, t, l, random)
}

// decide decides between the actions other than Refuse.
func (c *Controller) decide(now time.Time, t *Ticket, l Load, random func() float64) Decision {
	level := t.level()
	d := Decision{Level: level, Wait: c.wait(now, t, l), Useful: t.useful(now, c.runTime()), Again: pollInterval(l.Age, random)}
	hold := time.Duration(maxHold * float64(t.useful(t.request.Received, c.runTime())))
	switch {
	case l.Slots == 0, hold <= 0 || now.Sub(t.request.Received) >= hold:
		d.Action = SendAnyway
	case !c.knowsRunTime():
		d.Action = Send // nothing shows how long a wait would be
	case l.Fits && random() < c.roomShare(now, t, l):
		d.Action = Send
	default:
		d.Action = Hold
		d.Again = min(d.Again, hold-now.Sub(t.request.Received))
	}
	t.waiting = d.Action == Hold
	return d
}

// roomShare returns the probability with which a request takes the room that there is. More
// urgent requests, those that are held and those that arrive until the knowledge is renewed,
// come first. Requests as urgent as this one share the rest.
func (c *Controller) roomShare(now time.Time, t *Ticket, l Load) float64 {
	level, ahead := t.level(), c.ownAhead(t)
	before, same := 0.0, 1.0
	for i := range Levels {
		arriving := c.arrivals.perSecond(now, i) * float64(l.Daemons) * l.Age.Seconds()
		switch {
		case i < level:
			before += float64(l.PeersHeld[i]) + arriving
		case i == level:
			same += float64(l.PeersHeld[i]) + arriving
		}
	}
	room := l.Room - before - float64(ahead)
	return min(1, max(0, room/same))
}

// wait estimates the time until there is room for a request: what comes before it needs room
// first, and room appears at the rate at which runs end, of which more urgent requests that
// arrive meanwhile take their part.
func (c *Controller) wait(now time.Time, t *Ticket, l Load) time.Duration {
	level, ahead, urgent, atLeast, all := t.level(), 0.0, 0.0, 0.0, 0.0
	for i := range Levels {
		arriving := c.arrivals.perSecond(now, i)
		all += arriving
		if i <= level {
			ahead += float64(l.PeersHeld[i])
			atLeast += arriving
		}
		if i < level {
			urgent += arriving * float64(l.Daemons)
		}
	}
	if all > 0 { // targets begin the more urgent ones first
		ahead += l.Queued * atLeast / all
	}
	ahead += float64(c.ownAhead(t)) + 1 - l.Room
	if ahead <= 0 || !c.knowsRunTime() {
		return 0
	}
	rate := c.startRate(l)
	if rate = max(rate-urgent, minRateShare*rate); rate <= 0 {
		return maxAhead
	}
	return min(maxAhead, time.Duration(ahead/rate*float64(time.Second)))
}

// startRate returns how many streams per second get room: as many as end, and no more than can
// be prefilled.
func (c *Controller) startRate(l Load) float64 {
	rate := l.Running / c.runTime().Seconds()
	if c.prompts.mean > 0 {
		rate = min(rate, l.PrefillRate/c.prompts.mean)
	}
	return rate
}

// runTime returns the mean time of a stream at a target. Until enough streams have ended here, the
// rest counts with the expected time: a daemon of a large fleet gets a stream each few seconds, and a burst is
// over before eight of them have ended.
func (c *Controller) runTime() time.Duration {
	mean := c.runs.mean
	if missing := minRuns - c.runs.samples; missing > 0 && c.assumed.samples > 0 {
		mean = (mean*float64(c.runs.samples) + c.assumed.mean*float64(missing)) / minRuns
	}
	return max(minRunTime, time.Duration(mean*float64(time.Second)))
}

// knowsRunTime reports whether runTime is known or can be assumed.
func (c *Controller) knowsRunTime() bool {
	return c.runs.samples >= minRuns || c.assumed.samples > 0
}

// refusal returns the probability with which a request is refused that can't be sent at once: it
// would not be served before its deadline, or it would be late while more urgent requests come
// that can still be in time. excess is the workspace's share of the requests over a fair share: a
// workspace above it is refused more, one below it less.
func (c *Controller) refusal(now time.Time, t *Ticket, d Decision, l Load, excess float64) float64 {
	useful, run := t.usefulByDeadline(now, c.runTime()), c.knowsRunTime()
	if c.moreUrgent(now, t, l) {
		useful = d.Useful
	}
	if useful <= 0 || !run || float64(l.FreeSlots) >= (minFreeShare-freePerSecond*l.Age.Seconds())*float64(l.Slots) {
		return 0
	}
	p := min(1, (float64(d.Wait+l.PrefillWait)/float64(useful)-refuseFrom)/(refuseAll-refuseFrom))
	if p <= 0 {
		return 0
	}
	if effect := math.Pow(excess, shareWeight); effect < 1 {
		p *= effect
	} else {
		p = 1 - (1-p)/effect
	}
	return p / (1 + agingWeight*min(1, t.waited))
}

// moreUrgent reports whether requests of a more urgent level are held or have arrived recently.
func (c *Controller) moreUrgent(now time.Time, t *Ticket, l Load) bool {
	for i := range t.level() {
		if l.PeersHeld[i] > 0 || c.arrivals.count(now, i) >= activeRequests {
			return true
		}
	}
	return false
}

// RecordRun records how long a stream used a target, from its send to its end.
func (c *Controller) RecordRun(d time.Duration) { c.runs.add(d.Seconds()) }

// Timing of repeated decisions.
const (
	// minPoll and maxPoll bound the time until a held request is decided on again. It is about
	// the age of the knowledge: a decision on unchanged knowledge would take the same room a
	// second time.
	minPoll, maxPoll = 20 * time.Millisecond, 250 * time.Millisecond
)

func pollInterval(age time.Duration, random func() float64) time.Duration {
	return time.Duration(float64(min(maxPoll, max(minPoll, age))) * (0.75 + 0.5*random()))
}
