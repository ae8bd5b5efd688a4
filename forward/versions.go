package forward

import (
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// Rollouts decides which software versions of a service get requests while one of them is rolled
// out, and takes the outcomes of the requests as evidence.
type Rollouts interface {
	// CountRequest counts a caller's request for a service, when it is first sent to a target.
	CountRequest(now time.Time, service string)
	// Versions returns the rule for the requests to a service, nil if any version may get them.
	Versions(now time.Time, service string) *VersionRule
	// TakeCredit reports whether a request may be sent to a limited version now, and spends a
	// credit if so. A stream that the version began can be sent nowhere else; it gets a credit that
	// later requests make up for. ReleaseCredit takes the credit back because nothing was sent.
	TakeCredit(now time.Time, service, version string, began bool) bool
	ReleaseCredit(service, version string)
	// BeginRun records that a request is sent to a target. It returns nil if its outcome is no
	// evidence.
	BeginRun(now time.Time, t fleet.Target, route string) ObservedRun
}

// ObservedRun is one send of a request whose outcome is evidence on a version.
type ObservedRun interface {
	// Record records a response, or a failure of the target. A stream is recorded at its first
	// event, and once more if it breaks.
	Record(now time.Time, end RunEnd, latency time.Duration)
	// Abandon records that the send ended without the target's fault, unless its outcome is
	// recorded. ran means that the target may have run it.
	Abandon(now time.Time, ran bool)
}

// RunEnd is how a send ended that is evidence.
type RunEnd int

// Ends of a send.
const (
	Responded  RunEnd = iota
	Failed            // a server error, a broken or an invalid answer of a target that is there
	TargetLost        // the target itself seems lost, which says little of its version
)

// VersionRule is what a request may be sent to at a moment. It does not change.
type VersionRule struct {
	// Allows reports whether a version may get requests, and Limits whether each of them needs a
	// credit.
	Allows, Limits func(version string) bool
	// Preferred is the version that gets new work if it is ready; nil for none.
	Preferred *string
	// Control means that the next plain call goes to another version, for comparison.
	Control bool
	// Spared has the IDs of targets of the preferred version that get no new work yet, so that the
	// others have their usual load; nil if all get as much as there is.
	Spared map[string]bool
}

// errNoCredit means that the only suitable targets are of a version under roll-out, which gets no
// request now.
var errNoCredit = errors.New("the version under roll-out gets no more requests now")

// versionRule returns the rule for the requests to a service, nil for none.
func (f *Forwarder) versionRule(now time.Time, service string) *VersionRule {
	if f.Rollouts == nil {
		return nil
	}
	return f.Rollouts.Versions(now, service)
}

// allowedVersions returns the filter of the versions of a service that may get requests, also
// those that need a credit; nil for all.
func (f *Forwarder) allowedVersions(now time.Time, service string) func(string) bool {
	if rule := f.versionRule(now, service); rule != nil {
		return rule.Allows
	}
	return nil
}

// pickTarget picks the target of the next attempt of a request. A target of a version under
// roll-out is picked only with a credit, which c keeps for the attempt, unless the service has no
// other version.
func (f *Forwarder) pickTarget(now time.Time, criteria fleet.Criteria, c *succession) (fleet.Target, error) {
	rule := f.versionRule(now, criteria.Service)
	if rule == nil {
		return f.Fleet.Pick(now, criteria)
	}
	if rule.Preferred != nil && (!rule.Control || criteria.MemoryTokens > 0) {
		if t, err := f.Fleet.Pick(now, rule.preferredCriteria(criteria)); err == nil && f.takeCredit(now, criteria.Service, t.SoftwareVersion, c) {
			return t, nil
		}
	}
	unlimited := func(version string) bool { return rule.Allows(version) && !rule.Limits(version) }
	criteria.VersionFilter = unlimited
	t, err := f.Fleet.Pick(now, criteria)
	if err == nil {
		return t, nil
	}
	hasOther := f.Fleet.HasVersion(now, criteria.Service, unlimited)
	criteria.VersionFilter = rule.Allows
	limited, limitedErr := f.Fleet.Pick(now, criteria)
	switch {
	case limitedErr != nil:
		return fleet.Target{}, limitedErr
	case f.takeCredit(now, criteria.Service, limited.SoftwareVersion, c):
		return limited, nil
	case !hasOther && f.Rollouts.TakeCredit(now, criteria.Service, limited.SoftwareVersion, true):
		c.credit = &limited.SoftwareVersion // beyond the allowance; later requests make up for it
		return limited, nil
	}
	// If all targets of other versions are avoided for a moment, their requests must not flood the
	// new version.
	return fleet.Target{}, errors.WithStack(errNoCredit)
}

// preferredCriteria returns what an attempt at a target of the preferred version needs.
func (r *VersionRule) preferredCriteria(criteria fleet.Criteria) fleet.Criteria {
	preferred := *r.Preferred
	criteria.VersionFilter = func(version string) bool { return version == preferred }
	if r.Spared != nil {
		criteria.NeedsRoom = true // else a queue at few targets would look like a slow version
		if len(r.Spared) > 0 {
			exclude := maps.Clone(r.Spared)
			maps.Copy(exclude, criteria.Exclude)
			criteria.Exclude = exclude
		}
	}
	return criteria
}

// allowsVersion reports whether a version may get requests, with a credit or without.
func (f *Forwarder) allowsVersion(now time.Time, service, version string) bool {
	rule := f.versionRule(now, service)
	return rule == nil || rule.Allows(version)
}

// takeCredit reports whether the next attempt of a request may be sent to a version now. If that
// needs a credit, c keeps it for the attempt.
func (f *Forwarder) takeCredit(now time.Time, service, version string, c *succession) bool {
	rule := f.versionRule(now, service)
	switch {
	case rule == nil:
		return true
	case !rule.Allows(version):
		return false
	case !rule.Limits(version) || c.credit != nil && *c.credit == version:
		return true
	}
	f.releaseCredit(service, c)
	if !f.Rollouts.TakeCredit(now, service, version, c.version != nil && *c.version == version) {
		return false
	}
	c.credit = &version
	return true
}

// releaseCredit returns the credit that c keeps, if there is one.
func (f *Forwarder) releaseCredit(service string, c *succession) {
	if c.credit != nil {
		f.Rollouts.ReleaseCredit(service, *c.credit)
		c.credit = nil
	}
}

// observation is the evidence of one attempt. The zero observation records nothing.
type observation struct {
	forwarder *Forwarder
	run       ObservedRun
	sentAt    time.Time
	service   string
	credit    *string // that the attempt spends
}

// observe begins an attempt at a target, which spends the credit that c keeps for its version.
func (f *Forwarder) observe(now time.Time, r *Request, t fleet.Target, c *succession) observation {
	if f.Rollouts == nil {
		return observation{}
	}
	o := observation{forwarder: f, sentAt: now, service: r.Service}
	if c.credit != nil && *c.credit == t.SoftwareVersion {
		o.credit, c.credit = c.credit, nil
	}
	f.releaseCredit(r.Service, c)
	if !r.counted {
		r.counted = true
		f.Rollouts.CountRequest(now, r.Service)
	}
	o.run = f.Rollouts.BeginRun(now, t, r.Route.Name)
	return o
}

// respond records a response.
func (o observation) respond(now time.Time) {
	if o.run != nil {
		o.run.Record(now, Responded, now.Sub(o.sentAt))
	}
}

// fail records a failure of the target.
func (o observation) fail(now time.Time, targetLost bool) {
	end := Failed
	if targetLost {
		end = TargetLost
	}
	if o.run != nil {
		o.run.Record(now, end, now.Sub(o.sentAt))
	}
}

// abandon records that the attempt ended without the target's fault.
func (o observation) abandon(now time.Time, ran bool) {
	if o.run != nil {
		o.run.Abandon(now, ran)
	}
}

// notSent records that nothing of the request was sent, so that no credit was spent.
func (o observation) notSent(now time.Time) {
	o.abandon(now, false)
	if o.credit != nil {
		o.forwarder.Rollouts.ReleaseCredit(o.service, *o.credit)
	}
}

// observeEnd records the end of an attempt of a stream.
func (a *streamAttempt) observeEnd(now time.Time, end attemptEnd) {
	switch {
	case a.faulty:
		a.observed.fail(now, a.targetLost)
	case end == endNotSent:
		a.observed.notSent(now)
	case end == endNoRetry, end == endComplete && !a.detector.firstEventSeen: // an error of the caller, or no event was left to send
		a.observed.respond(now)
	default:
		a.observed.abandon(now, true)
	}
}
