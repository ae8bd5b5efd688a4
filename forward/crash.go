package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// confirmTimeout bounds the connection attempt that distinguishes a crash of a target from
// the loss of one connection. A refusal is confirmed by another daemon, which takes two round
// trips of a few milliseconds; the rest allows for CPU scheduling delays.
const confirmTimeout = 200 * time.Millisecond

// startPeriod is how long after its first event a run counts as just started. A request
// that crashes its targets right after their first events counts like one that crashes
// them before.
const startPeriod = 500 * time.Millisecond

// reportBrokenRun reports that the connection of a run on t broke. t crashed if no process
// listens at its address any more. If it accepts a connection, only the run's own was
// lost, and nothing is reported. Otherwise the outcome is not known yet, and probes follow.
// reportBrokenRun reports whether the target seems lost, and not only the connection.
func (f *Forwarder) reportBrokenRun(ctx context.Context, r *Request, t fleet.Target, incarnation fleet.Incarnation, atStart bool) (targetLost bool) {
	if incarnation.Ended(time.Now()) {
		f.CrashTracker.ReportCrash(r, t, atStart)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := f.TargetClient.Connect(ctx, t)
	switch {
	case errors.Is(err, ErrNotListening):
		f.CrashTracker.ReportCrash(r, t, atStart)
	case err != nil:
		f.CrashTracker.ReportLoss(r, incarnation, atStart)
		f.Prober.Check(t)
	}
	return err != nil
}
