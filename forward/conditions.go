package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// send makes an attempt and records the load and the conditions that the target states in the answer.
// Answers that the target did not sign count only if they state some: a refusal may come
// from a part of the target that knows of none.
func (f *Forwarder) send(ctx context.Context, a Attempt) (*Answer, error) {
	answer, err := f.TargetClient.Send(ctx, a)
	if err == nil && answer.Pause > 0 && f.Fleet.Pause(time.Now(), a.Target, answer.Pause) {
		metrics.GetOrRegisterCounter("targets.pauses", f.Metrics).Inc(1)
		f.Events.Record(event.PauseRequested, a.Request.ID, event.F("target", a.Target.ID), event.F("for", answer.Pause.String()))
	}
	if err == nil && !answer.OtherTarget {
		recordLoad(f.Fleet, f.Events, a.Request.ID, a.Target, answer.Load)
	}
	if err != nil || answer.OtherTarget || !answer.Signed && answer.Conditions == (fleet.Conditions{}) {
		return answer, err
	}
	if statement := (fleet.Statement{Conditions: answer.Conditions, At: time.Now()}); f.Fleet.RecordStatement(a.Target, statement) {
		if f.OnStatement != nil {
			f.OnStatement(a.Target, statement)
		}
		f.Events.Record(event.ConditionsStated, a.Request.ID, event.F("target", a.Target.ID), event.F("limit", describeLimit(answer.Conditions)), event.F("brittle", strconv.FormatBool(answer.Conditions.Brittle)), event.F("leaving", strconv.FormatBool(answer.Conditions.Leaving)))
	}
	return answer, nil
}

// recordLoad records the load that a target states in an answer.
func recordLoad(f *fleet.Fleet, events *event.Recorder, requestID string, t fleet.Target, load fleet.LoadStatement) {
	if f.RecordLoad(time.Now(), t, load) {
		events.Record(event.LoadStated, requestID, event.F("service", t.Service), event.F("target", t.ID))
	}
}

// describeLimit returns the limit of a target for the log.
func describeLimit(c fleet.Conditions) string {
	if !c.RateLimited {
		return "none"
	}
	return strconv.FormatFloat(c.RequestsPerSecond, 'f', -1, 64)
}

// Permits issues the permits to send requests to targets that limit them.
type Permits interface {
	// Take takes a permit to send a request to a target. Without one, retryAfter is the time
	// until it is useful to ask again. Take may block for a call to another daemon.
	Take(ctx context.Context, p PermitRequest) (retryAfter time.Duration, ok bool)
	// Release returns the permit of a request, if it has one, when its attempt at a target
	// has ended. refused reports whether the target refused it for want of room.
	Release(requestID string, t fleet.Target, refused bool)
}

// PermitRequest describes a send that needs a permit.
type PermitRequest struct {
	RequestID string
	Target    fleet.Target
	Priority  int // lower ones are more urgent
	// MemoryTokens is the KV cache memory that the request needs, and CapacityTokens that of
	// the target; 0 if not known.
	MemoryTokens, CapacityTokens int
}

// maxPermitRequests bounds the permits that are requested for one attempt. Each may take a
// call to another daemon.
const maxPermitRequests = 4

// errNoPermit means that the targets that were asked for take no request now.
var errNoPermit = errors.New("no target takes more requests now")

// resumePriority is the priority of an attempt to continue an answer that has begun. It is
// more urgent than all routes.
const resumePriority = -1

// pick picks a target that meets the criteria and takes a permit to send a request to it. See
// pickTarget for c.
func (f *Forwarder) pick(ctx context.Context, requestID string, criteria fleet.Criteria, c *succession) (fleet.Target, error) {
	for range maxPermitRequests {
		t, err := f.pickTarget(time.Now(), criteria, c)
		if err != nil {
			return fleet.Target{}, err
		}
		if f.takePermit(ctx, requestID, t, criteria) {
			return t, nil
		}
	}
	return fleet.Target{}, errNoPermit
}

// takePermit takes a permit to send a request to a target. Without one, requests of the
// priority are kept from the target for a time.
func (f *Forwarder) takePermit(ctx context.Context, requestID string, t fleet.Target, criteria fleet.Criteria) bool {
	if f.Permits == nil {
		return true
	}
	retryAfter, ok := f.Permits.Take(ctx, PermitRequest{
		RequestID: requestID, Target: t, Priority: criteria.Priority, MemoryTokens: criteria.MemoryTokens, CapacityTokens: criteria.CapacityTokens,
	})
	if !ok {
		now := time.Now()
		f.Fleet.Throttle(now, t.ID, criteria.Priority, now.Add(retryAfter))
	}
	return ok
}

// releasePermit returns the permit of a request after its attempt at a target.
func (f *Forwarder) releasePermit(requestID string, t fleet.Target, refused bool) {
	if f.Permits != nil {
		f.Permits.Release(requestID, t, refused)
	}
}
