package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// verdictKind is the kind of the store objects that hold the crash reports of refused
// contents, one object a content, named by its fingerprint. They outlive a restart of
// all daemons. A daemon reads them only when it starts; later it hears of crashes from
// its peers.
const verdictKind = "quarantine"

// storedVerdict is the value of such an object.
type storedVerdict struct {
	RequestID string        `json:"request_id"`
	Crashes   []storedCrash `json:"crashes"`
}

type storedCrash struct {
	Target      string    `json:"target"`
	Incarnation uint64    `json:"incarnation,omitempty"`
	AtStart     bool      `json:"at_start"`
	Time        time.Time `json:"time"`
}

// verdicts writes the crash reports of refused contents to the store, and reads them.
type verdicts struct {
	store   objectstore.Store
	events  *event.Recorder
	reports func([]quarantine.RequestKey) []quarantine.CrashReport
	apply   func(from string, reports []quarantine.CrashReport)

	ctx context.Context // nothing is written once it is done

	mu     sync.Mutex
	stored map[uint64]savedVerdict // that this daemon has stored, or began to, by fingerprint
}

type savedVerdict struct {
	request quarantine.RequestKey
	at      time.Time
}

func newVerdicts(store objectstore.Store, events *event.Recorder, reports func([]quarantine.RequestKey) []quarantine.CrashReport,
	apply func(from string, reports []quarantine.CrashReport),
) *verdicts {
	return &verdicts{store: store, events: events, reports: reports, apply: apply, ctx: context.Background(), stored: make(map[uint64]savedVerdict)}
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
	now, ttl := time.Now(), quarantineSettings().Decay.Std()
	v.mu.Lock()
	defer v.mu.Unlock()
	for fingerprint, s := range v.stored {
		if now.Sub(s.at) > ttl {
			delete(v.stored, fingerprint)
		}
	}
	if _, ok := v.stored[request.Fingerprint]; ok {
		return
	}
	v.stored[request.Fingerprint] = savedVerdict{request, now}
	go v.writeUntilDone(request)
}

// saveAgain stores what this daemon has stored once more, unless the store has it, because
// the store was restored from an older copy.
func (v *verdicts) saveAgain() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.stored {
		go func() {
			pause.For(v.ctx, rand.N(maxRegistrationDelay))
			v.writeUntilDone(s.request)
		}()
	}
}

func (v *verdicts) writeUntilDone(request quarantine.RequestKey) {
	retryStore(v.ctx, func(ctx context.Context) error { return v.write(ctx, request) })
}

// write stores the crash reports of a request unless another daemon has. It also deletes
// the objects whose crashes no longer count, so that their number stays bounded.
func (v *verdicts) write(ctx context.Context, request quarantine.RequestKey) error {
	objects, _, err := v.store.List(ctx, verdictKind)
	if err != nil {
		return err
	}
	name := formatFingerprint(request.Fingerprint)
	for _, o := range objects {
		reports, ok := v.decode(o)
		switch {
		case ok && len(reports) == 0:
			err := v.store.Delete(ctx, verdictKind, o.Name, o.Version)
			if err != nil && !errors.Is(err, objectstore.ErrConflict) { // another daemon has deleted it
				return err
			}
		case o.Name == name:
			return nil
		}
	}
	reports := v.reports([]quarantine.RequestKey{request})
	if len(reports) == 0 {
		return nil // cleared meanwhile
	}
	value, err := json.Marshal(encodeVerdict(time.Now(), request, reports))
	if err != nil {
		return errors.Wrap(err, "encode verdict")
	}
	_, err = v.store.Put(ctx, verdictKind, name, value, 0)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil // another daemon has stored it
	}
	if err == nil {
		v.events.Record(event.VerdictStored, request.ID, event.F("fingerprint", name))
	}
	return err
}

func encodeVerdict(now time.Time, request quarantine.RequestKey, reports []quarantine.CrashReport) storedVerdict {
	out := storedVerdict{RequestID: request.ID}
	for _, r := range reports {
		out.Crashes = append(out.Crashes, storedCrash{r.Target, r.Incarnation, r.AtStart, now.Add(-r.Age)})
	}
	return out
}

// decode returns the crash reports of an object that still count, and false if the object
// is malformed.
func (v *verdicts) decode(o objectstore.Object) (reports []quarantine.CrashReport, ok bool) {
	var stored storedVerdict
	err := json.Unmarshal(o.Value, &stored)
	fingerprint, nameErr := strconv.ParseUint(o.Name, 16, 64)
	if err != nil || nameErr != nil {
		v.events.Record(event.EntryRefused, "", event.F("quarantine", o.Name))
		return nil, false
	}
	request := quarantine.RequestKey{ID: stored.RequestID, Fingerprint: fingerprint}
	for _, c := range stored.Crashes {
		age := max(0, time.Since(c.Time)) // the clock of the daemon that wrote it may be ahead
		if age <= quarantineSettings().Decay.Std() {
			reports = append(reports, quarantine.CrashReport{Request: request, Target: c.Target, Incarnation: c.Incarnation, AtStart: c.AtStart, Age: age})
		}
	}
	return reports, true
}
