package gateway

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// crashTracker records which requests crash targets. It implements
// forward.CrashTracker with a quarantine.Ledger, sends crash reports to peers and stores
// those of refused requests.
type crashTracker struct {
	events *event.Recorder
	send   func(quarantine.RequestKey) // delivers the crash reports on a request to the other daemons
	save   func(quarantine.RequestKey) // stores them, once the request is refused
	// sendSound reports to the other daemons with which parts requests ran well.
	sendSound func(soundParts)
	// runsTrials reports whether this daemon, of all, runs the trials of a blame.
	runsTrials func(quarantine.Blame) bool
	// saveParts stores the crash reports for which parts are blamed.
	saveParts func(quarantine.Blame)

	mu     sync.Mutex
	ledger *quarantine.Ledger
	parts  *quarantine.PartLedger
	losses []loss         // oldest first
	blamed map[string]int // crashes of the blames that were logged and stored, by their names
	// announced holds the time of the latest announcement of sound runs, by part.
	announced map[string]time.Time
}

// loss is a run that was abandoned. Whether its target crashed is not known.
type loss struct {
	request quarantine.RequestKey
	target  fleet.Incarnation
	atStart bool
	time    time.Time
	parts   []string
	ran     time.Duration
}

// Limits of the losses that wait for the end of their target to become known.
const (
	// lossTTL covers the time until the entry of a crashed target expires or its next
	// incarnation registers, both a few of its heartbeats.
	lossTTL   = 10 * time.Second
	maxLosses = 1024
)

// crashSettleTime is the SettleTime of the gateway. It covers the latency of crash
// reports, which are sent at once; a booking call has a few times as long for its retry.
const crashSettleTime = 20 * time.Millisecond

// quarantineSettings returns the settings of the gateway's ledger. ExtraTargets is 0: where
// a service has few targets, other requests are often present at all crashes of a poison
// request, and excusing it for them would crash more targets under all of them.
func quarantineSettings() quarantine.Settings {
	s := quarantine.DefaultSettings()
	s.SettleTime, s.ExtraTargets = jsontime.Duration(crashSettleTime), 0
	return s
}

func newCrashTracker(events *event.Recorder, send, save func(quarantine.RequestKey)) *crashTracker {
	s := quarantineSettings()
	return &crashTracker{
		events: events, send: send, save: save, sendSound: func(soundParts) {}, saveParts: func(quarantine.Blame) {}, runsTrials: func(quarantine.Blame) bool { return false },
		ledger: quarantine.NewLedger(s), parts: quarantine.NewPartLedger(quarantine.DefaultPartSettings(s)), blamed: make(map[string]int), announced: make(map[string]time.Time),
	}
}

// requestKey identifies a request by its id and by a hash of its content, because a
// caller that sends the same request again gives it a new id.
func requestKey(r *forward.Request) quarantine.RequestKey {
	h := xxhash.New()
	for _, part := range []string{r.Workspace, r.Method, r.Host, r.URI} {
		_, _ = h.WriteString(part) // xxhash never returns an error
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return quarantine.RequestKey{ID: r.ID, Fingerprint: h.Sum64()}
}

// empty reports whether no request has a crash report or a loss, which is the normal
// case. The caller can then skip hashing the request's body.
func (c *crashTracker) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids, fingerprints := c.ledger.Len()
	return ids == 0 && fingerprints == 0 && len(c.losses) == 0 && c.parts.Empty()
}

// Check implements forward.CrashTracker.
func (c *crashTracker) Check(ctx context.Context, r *forward.Request) *failure.Error {
	if c.empty() {
		return nil
	}
	start := time.Now()
	for key := requestKey(r); ; {
		c.mu.Lock()
		v := c.ledger.Check(time.Now(), key)
		standing := c.ledger.Standing(key)
		if v.Refusal == nil {
			v.Refusal = c.parts.Refusal(time.Now(), r.ID, r.Prompt.Parts, c.runsTrials)
		}
		c.mu.Unlock()
		if v.Refusal != nil {
			c.events.Record(event.RequestQuarantined, r.ID, event.F("error", v.Refusal.Error()))
			return v.Refusal
		}
		if v.Wait == 0 || !pause.For(ctx, v.Wait) {
			if standing.Crashes > 0 {
				c.events.Record(event.RequestOnTrial, r.ID, append(standingFields(key, standing), event.F("waited", time.Since(start).String()))...)
			}
			return nil
		}
	}
}

// standingFields returns the log fields of the standing of a request's content.
func standingFields(key quarantine.RequestKey, s quarantine.Standing) []event.Field {
	return []event.Field{
		event.F("fingerprint", formatFingerprint(key.Fingerprint)), event.F("crashes", strconv.Itoa(s.Crashes)), event.F("refused", strconv.FormatBool(s.Refused)),
	}
}

func formatFingerprint(f uint64) string { return fmt.Sprintf("%016x", f) }

// ReportCrash implements forward.CrashTracker.
func (c *crashTracker) ReportCrash(r *forward.Request, t fleet.Target, atStart bool) {
	c.reportCrash(quarantine.CrashReport{
		Request: requestKey(r), Target: t.ID, Incarnation: uint64(t.StartMillis), AtStart: atStart, Own: true,
		Parts: r.Prompt.Parts, Ran: time.Since(r.SentAt),
	})
}

func (c *crashTracker) reportCrash(report quarantine.CrashReport) {
	c.mu.Lock()
	reports := c.ledger.ReportCrash(time.Now(), report)
	c.parts.ReportCrash(time.Now(), report)
	standing := c.ledger.Standing(report.Request)
	c.mu.Unlock()
	c.events.Record(event.RequestCrashReported, report.Request.ID, append(standingFields(report.Request, standing),
		event.F("target", report.Target), event.F("at_start", strconv.FormatBool(report.AtStart)), event.F("age", report.Age.String()),
		event.F("parts", strings.Join(report.Parts, ",")), event.F("ran", report.Ran.String()))...)
	if len(reports) > 0 {
		c.send(report.Request)
	}
	c.saveRefused(report.Request, standing)
	c.announceSound(report)
	c.handleBlame()
}

// saveRefused stores the crash reports of a request that is refused. Only daemons that
// observed one of its crashes do, so that few of many call the store.
func (c *crashTracker) saveRefused(request quarantine.RequestKey, standing quarantine.Standing) {
	if standing.Refused && standing.Own {
		c.save(request)
	}
}

// ReportLoss implements forward.CrashTracker.
func (c *crashTracker) ReportLoss(r *forward.Request, target fleet.Incarnation, atStart bool) {
	now := time.Now()
	c.mu.Lock()
	c.losses = append(c.losses, loss{requestKey(r), target, atStart, now, r.Prompt.Parts, now.Sub(r.SentAt)})
	if excess := len(c.losses) - maxLosses; excess > 0 {
		c.losses = c.losses[excess:]
	}
	c.mu.Unlock()
	c.resolveLosses(now)
}

// resolveLosses reports the losses whose targets are known to have ended as crashes, and
// drops those whose targets still run after lossTTL.
func (c *crashTracker) resolveLosses(now time.Time) {
	c.mu.Lock()
	var crashed, unresolved []loss
	for _, l := range c.losses {
		switch {
		case l.target.Ended(now):
			crashed = append(crashed, l)
		case now.Sub(l.time) < lossTTL:
			unresolved = append(unresolved, l)
		}
	}
	c.losses = unresolved
	c.mu.Unlock()
	defer c.handleBlame() // some follow from the time since the crashes
	for _, l := range crashed {
		t := l.target.Target
		c.reportCrash(quarantine.CrashReport{
			Request: l.request, Target: t.ID, Incarnation: uint64(t.StartMillis), AtStart: l.atStart, Age: now.Sub(l.time), Own: true, Parts: l.parts, Ran: l.ran,
		})
	}
}

// ReportProgress implements forward.CrashTracker.
func (c *crashTracker) ReportProgress(r *forward.Request) {
	c.reportSound(r)
	if c.empty() {
		return
	}
	key := requestKey(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.ReportProgress(key)
}

// ReportCompletion implements forward.CrashTracker.
func (c *crashTracker) ReportCompletion(r *forward.Request) {
	c.reportSound(r)
	if c.empty() {
		return
	}
	key := requestKey(r)
	c.mu.Lock()
	standing := c.ledger.Standing(key)
	c.ledger.Clear(key)
	c.losses = slices.DeleteFunc(c.losses, func(l loss) bool { return l.request.Fingerprint == key.Fingerprint })
	c.mu.Unlock()
	if standing.Crashes > 0 {
		c.events.Record(event.CrashReportsCleared, r.ID, standingFields(key, standing)...)
	}
}

// reports returns the crash reports that all daemons should have.
func (c *crashTracker) reports() []quarantine.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.CrashReports(time.Now())
}

// reportsOn returns the crash reports on some requests that all daemons should have.
func (c *crashTracker) reportsOn(requests []quarantine.RequestKey) (out []quarantine.CrashReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range requests {
		out = append(out, c.ledger.Reports(now, r)...)
	}
	for i, r := range out { // a daemon that starts doesn't know which parts were cleared
		out[i].Parts = c.parts.Suspected(now.Add(-r.Age), r.Parts)
	}
	return out
}

// requests returns the requests on which all daemons should have crash reports.
func (c *crashTracker) requests() []quarantine.RequestKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Requests(time.Now())
}

// applyReports records the crash reports of a peer or of the store.
func (c *crashTracker) applyReports(from string, reports []quarantine.CrashReport) {
	c.mu.Lock()
	newCrashes, worst, worstKey := 0, quarantine.Standing{}, quarantine.RequestKey{}
	standings := make(map[quarantine.RequestKey]quarantine.Standing)
	for _, report := range reports {
		crashesBefore := c.ledger.Standing(report.Request).Crashes
		c.ledger.ReportCrash(time.Now(), report)
		c.parts.ReportCrash(time.Now(), report)
		standing := c.ledger.Standing(report.Request)
		standings[report.Request] = standing
		newCrashes += standing.Crashes - crashesBefore
		if standing.Crashes > worst.Crashes {
			worst, worstKey = standing, report.Request
		}
	}
	c.mu.Unlock()
	if newCrashes > 0 && worst.Crashes > 1 { // a first crash is most often that of an innocent request
		c.events.Record(event.CrashReportsApplied, "", append(standingFields(worstKey, worst), event.F("member", from), event.F("new", strconv.Itoa(newCrashes)))...)
	}
	for request, standing := range standings {
		c.saveRefused(request, standing)
	}
	c.announceSound(reports...)
	c.handleBlame()
}
