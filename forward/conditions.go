package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// send makes an attempt and records the conditions that the target states in the answer.
// Answers that the target did not sign count only if they state some: a refusal may come
// from a part of the target that knows of none.
func (f *Forwarder) send(ctx context.Context, a Attempt) (*Answer, error) {
	answer, err := f.TargetClient.Send(ctx, a)
	if err != nil || answer.OtherTarget || !answer.Signed && answer.Conditions == (fleet.Conditions{}) {
		return answer, err
	}
	if f.Fleet.RecordStatement(a.Target, fleet.Statement{Conditions: answer.Conditions, At: time.Now()}) {
		f.Events.Record(event.ConditionsStated, a.Request.ID, event.F("target", a.Target.ID), event.F("limit", describeLimit(answer.Conditions)))
	}
	return answer, nil
}

// describeLimit returns the limit of a target for the log.
func describeLimit(c fleet.Conditions) string {
	if !c.RateLimited {
		return "none"
	}
	return strconv.FormatFloat(c.RequestsPerSecond, 'f', -1, 64)
}
