package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// verdictKind is the kind of the store objects that hold the crash reports for which
// requests are refused: one object a content, named by its fingerprint, and one a blame of
// parts of prompts, named by partsPrefix and a hash of the parts. They outlive a restart of
// all daemons. A daemon reads them only when it starts; later it hears of crashes from
// its peers.
const verdictKind = "quarantine"

const partsPrefix = "parts-"

// blameName returns the name of the object that holds the crash reports of a blame.
func blameName(b quarantine.Blame) string {
	return partsPrefix + formatFingerprint(xxhash.Sum64String(b.Name()))
}

// storedVerdict is the value of such an object.
type storedVerdict struct {
	RequestID string        `json:"request_id,omitempty"` // of the content
	Parts     []string      `json:"parts,omitempty"`      // that are blamed
	Crashes   []storedCrash `json:"crashes"`
}

type storedCrash struct {
	Target      string        `json:"target"`
	Incarnation uint64        `json:"incarnation,omitempty"`
	AtStart     bool          `json:"at_start"`
	Time        time.Time     `json:"time"`
	Request     storedRequest `json:"request,omitzero"` // unless the object is about one content
	Parts       []string      `json:"parts,omitempty"`
	Ran         time.Duration `json:"ran_ns,omitempty"`
}

type storedRequest struct {
	ID          string `json:"id"`
	Fingerprint string `json:"fingerprint"`
}

func (r storedRequest) key() (quarantine.RequestKey, error) {
	fingerprint, err := strconv.ParseUint(r.Fingerprint, 16, 64)
	return quarantine.RequestKey{ID: r.ID, Fingerprint: fingerprint}, err
}

// verdicts writes the crash reports of refused contents to the store, and reads them.
type verdicts struct {
	store   objectstore.Store
	events  *event.Recorder
	reports func([]quarantine.RequestKey) []quarantine.CrashReport
	// evidence returns the crash reports for which parts are blamed.
	evidence func(quarantine.Blame) []quarantine.CrashReport
	apply    func(from string, reports []quarantine.CrashReport)

	ctx context.Context // nothing is written once it is done

	mu     sync.Mutex
	stored map[string]savedVerdict // that this daemon has stored, or began to, by name
}

type savedVerdict struct {
	storedVerdict                                 // without the crashes
	crashes       int                             // that are known, of a blame
	reports       func() []quarantine.CrashReport // on the crashes; none once they are cleared
	at            time.Time
}

func newVerdicts(store objectstore.Store, events *event.Recorder, tracker *crashTracker) *verdicts {
	return &verdicts{
		store: store, events: events, reports: tracker.reportsOn, evidence: tracker.evidence, apply: tracker.applyReports,
		ctx: context.Background(), stored: make(map[string]savedVerdict),
	}
}

// loadVerdicts loads the stored crash reports, unless the seed that this daemon started from
// sends them.
func (g *Gateway) loadVerdicts(ctx context.Context) {
	select {
	case <-g.startup.done:
	case <-ctx.Done():
		return
	}
	if !g.startup.verdictsLoaded() {
		g.verdicts.load(ctx)
		g.startup.setVerdictsLoaded(ctx.Err() == nil)
	}
}

// load reads and applies the stored crash reports. It retries until the store answers or
// ctx is done.
func (v *verdicts) load(ctx context.Context) {
	for backoff := storeRetryMin; ctx.Err() == nil; backoff = min(2*backoff, storeRetryMax) {
		objects, _, err := v.store.List(ctx, verdictKind)
		if err == nil {
			var reports []quarantine.CrashReport
			for _, o := range objects {
				decoded, _ := v.decode(o) // a malformed object is logged
				reports = append(reports, decoded...)
			}
			v.apply("store", reports)
			v.events.Record(event.VerdictsLoaded, "", event.F("contents", strconv.Itoa(len(objects))), event.F("crashes", strconv.Itoa(len(reports))))
			return
		}
		pause.For(ctx, withJitter(backoff))
	}
}

// save stores the crash reports of a request whose content is refused, without waiting,
// unless they are stored. It retries until the store answers.
func (v *verdicts) save(request quarantine.RequestKey) {
	v.saveReports(formatFingerprint(request.Fingerprint), savedVerdict{
		storedVerdict: storedVerdict{RequestID: request.ID},
		reports:       func() []quarantine.CrashReport { return v.reports([]quarantine.RequestKey{request}) },
	})
}

// saveParts stores the crash reports for which parts are blamed, in the same way, and again
// when there are more.
func (v *verdicts) saveParts(b quarantine.Blame) {
	v.saveReports(blameName(b), savedVerdict{
		storedVerdict: storedVerdict{Parts: b.Parts}, crashes: b.Crashes,
		reports: func() []quarantine.CrashReport { return v.evidence(b) },
	})
}

// updateDelay is the time until the crashes are stored that a blame has more. It covers the
// runs at targets when the parts were blamed.
const updateDelay = 3 * time.Second

func (v *verdicts) saveReports(name string, verdict savedVerdict) {
	now, ttl := time.Now(), quarantineSettings().Decay.Std()
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, s := range v.stored {
		if now.Sub(s.at) > ttl {
			delete(v.stored, name)
		}
	}
	stored, ok := v.stored[name]
	if ok && stored.crashes >= verdict.crashes {
		return
	}
	verdict.at = now
	v.stored[name] = verdict
	go func() {
		if ok {
			pause.For(v.ctx, updateDelay)
		}
		v.writeUntilDone(name, verdict)
	}()
}

// saveAgain stores what this daemon has stored once more, unless the store has it, because
// the store was restored from an older copy.
func (v *verdicts) saveAgain() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, s := range v.stored {
		go func() {
			pause.For(v.ctx, rand.N(maxRegistrationDelay))
			v.writeUntilDone(name, s)
		}()
	}
}

func (v *verdicts) writeUntilDone(name string, s savedVerdict) {
	retryStore(v.ctx, func(ctx context.Context) error { return v.write(ctx, name, s) })
}

// write stores crash reports unless another daemon has. It also deletes the objects whose
// crashes no longer count, so that their number stays bounded.
func (v *verdicts) write(ctx context.Context, name string, s savedVerdict) error {
	objects, _, err := v.store.List(ctx, verdictKind)
	if err != nil {
		return err
	}
	reports, version := s.reports(), int64(0)
	for _, o := range objects {
		stored, ok := v.decode(o)
		switch {
		case ok && len(stored) == 0:
			err := v.store.Delete(ctx, verdictKind, o.Name, o.Version)
			if err != nil && !errors.Is(err, objectstore.ErrConflict) { // another daemon has deleted it
				return err
			}
		case o.Name == name && (s.crashes == 0 || len(stored) >= len(reports)):
			return nil
		case o.Name == name:
			version = o.Version
		}
	}
	if len(reports) == 0 {
		return nil // cleared meanwhile
	}
	value, err := json.Marshal(s.encode(time.Now(), reports))
	if err != nil {
		return errors.Wrap(err, "encode verdict")
	}
	_, err = v.store.Put(ctx, verdictKind, name, value, version)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil // another daemon has stored it
	}
	if err == nil {
		v.events.Record(event.VerdictStored, s.RequestID, event.F("fingerprint", name))
	}
	return err
}

func (s savedVerdict) encode(now time.Time, reports []quarantine.CrashReport) storedVerdict {
	out := s.storedVerdict
	for _, r := range reports {
		c := storedCrash{Target: r.Target, Incarnation: r.Incarnation, AtStart: r.AtStart, Time: now.Add(-r.Age), Parts: r.Parts, Ran: r.Ran}
		if len(s.Parts) > 0 {
			c.Request = storedRequest{r.Request.ID, formatFingerprint(r.Request.Fingerprint)}
		}
		out.Crashes = append(out.Crashes, c)
	}
	return out
}

// decode returns the crash reports of an object that still count, and false if the object
// is malformed.
func (v *verdicts) decode(o objectstore.Object) (reports []quarantine.CrashReport, ok bool) {
	var stored storedVerdict
	err := json.Unmarshal(o.Value, &stored)
	ofContent := storedRequest{stored.RequestID, o.Name}
	if !strings.HasPrefix(o.Name, partsPrefix) && err == nil {
		_, err = ofContent.key()
	}
	for _, c := range stored.Crashes {
		request := ofContent
		if c.Request != (storedRequest{}) {
			request = c.Request
		}
		key, keyErr := request.key()
		if err == nil {
			err = keyErr
		}
		age := max(0, time.Since(c.Time)) // the clock of the daemon that wrote it may be ahead
		if age <= quarantineSettings().Decay.Std() {
			reports = append(reports, quarantine.CrashReport{
				Request: key, Target: c.Target, Incarnation: c.Incarnation, AtStart: c.AtStart, Age: age,
				Parts: c.Parts, Ran: c.Ran,
			})
		}
	}
	if err != nil {
		v.events.Record(event.EntryRefused, "", event.F("quarantine", o.Name))
		return nil, false
	}
	return reports, true
}
