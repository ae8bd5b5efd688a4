package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// startTarget starts and registers another target of the service.
func (e *testEnv) startTarget(id string, serve http.HandlerFunc) {
	e.startCrashingTarget(id, func(func()) http.HandlerFunc { return serve })
}

// startCrashingTarget starts and registers a target whose handler gets a function that
// crashes it: the connection breaks, and further ones are refused.
func (e *testEnv) startCrashingTarget(id string, handler func(crash func()) http.HandlerFunc) {
	s := httptest.NewUnstartedServer(nil)
	s.Config.Handler = targetHandler("stamp-"+id, handler(func() {
		_ = s.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	s.Start()
	e.t.Cleanup(s.Close)
	e.registerTarget(id, s)
}

// TestPoisonIsKnownToAllDaemons guards against a poison request that crashes targets
// through each daemon in turn. Once one daemon has quarantined it, the other daemons,
// including those that start later, must refuse it without sending it to a target, and
// must still serve other requests.
func TestPoisonIsKnownToAllDaemons(t *testing.T) {
	Convey("Given two daemons, four targets and a poison request that one daemon has quarantined", t, func() {
		env := newTestEnv(t)
		env.configure(1, "/a/")
		var kills atomic.Int64
		for i := range 4 {
			env.startCrashingTarget(fmt.Sprint("i-", i), func(crash func()) http.HandlerFunc {
				return func(rw http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/a/poison") {
						kills.Add(1)
						crash()
					}
					_, _ = fmt.Fprint(rw, "served")
				}
			})
		}
		store := env.store.Listener.Addr().String()
		stops := make(map[string]func())
		startDaemon := func(id string) Settings {
			s, stop := env.startDaemon(id, store)
			stops[id] = stop
			eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 200 })
			return s
		}
		first, second := startDaemon("vm-1"), startDaemon("vm-2")
		directoryLists := func(s Settings, other Settings) bool {
			_, body := get(s.Directory, "/-/resolve?name=h&zone=p")
			return strings.Contains(body, other.Callers)
		}
		eventually(func() bool { return directoryLists(first, second) && directoryLists(second, first) })
		quarantined := func(s Settings) bool {
			killsBefore := kills.Load()
			status, body := get(s.Callers, "/a/poison")
			return status == 503 && strings.Contains(body, "quarantined") && kills.Load() == killsBefore
		}
		eventually(func() bool { return quarantined(first) })
		killsOnFirst := kills.Load()
		crashedTargets := func(s Settings) int { // number of targets in the daemon's crash reports
			targets := make(map[string]bool)
			for _, report := range env.gateways[s.ID].crashTracker.reports() {
				targets[report.Target] = true
			}
			return len(targets)
		}
		Convey("the other daemon refuses the poison request after receiving the crash reports, and both serve other requests", func() {
			eventually(func() bool { return crashedTargets(second) == crashedTargets(first) })
			So(quarantined(second), ShouldBeTrue)
			So(kills.Load(), ShouldEqual, killsOnFirst)
			for _, s := range []Settings{first, second} {
				eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 200 })
			}
		})
		Convey("a daemon that starts later receives the crash reports after its first heartbeat", func() {
			third := startDaemon("vm-3")
			eventually(func() bool { return crashedTargets(third) == crashedTargets(first) })
			So(quarantined(third), ShouldBeTrue)
			So(kills.Load(), ShouldEqual, killsOnFirst)
		})
		Convey("a daemon that hears another one again after a silence is told what it missed", func() {
			eventually(func() bool { return crashedTargets(second) == crashedTargets(first) })
			time.Sleep(2 * heartbeatInterval) // it was brought up to date as one that started
			g := env.gateways[second.ID]
			g.crashTracker.mu.Lock()
			g.crashTracker.ledger = quarantine.NewLedger(quarantineSettings())
			g.crashTracker.mu.Unlock()
			g.members.mu.Lock()
			g.members.list.RecordHeartbeat(time.Now().Add(2*time.Second), first.ID, env.gateways[first.ID].members.incarnation, false)
			g.members.mu.Unlock()
			eventually(func() bool { return crashedTargets(second) == crashedTargets(first) })
			So(quarantined(second), ShouldBeTrue)
			So(kills.Load(), ShouldEqual, killsOnFirst)
		})
		Convey("a daemon that starts once all others have stopped reads from the store that it is refused", func() {
			eventually(func() bool {
				objects, _, err := env.storeClient.List(context.Background(), verdictKind)
				return err == nil && len(objects) == 1
			})
			for id, s := range map[string]Settings{"vm-1": first, "vm-2": second} {
				stops[id]()
				eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 0 })
			}
			third := startDaemon("vm-3")
			eventually(func() bool { return crashedTargets(third) > 0 })
			So(quarantined(third), ShouldBeTrue)
			So(kills.Load(), ShouldEqual, killsOnFirst)
		})
	})
}

// TestDrain guards against requests that are dropped by a planned stop, either
// because they are still running or because callers use older directory answers.
func TestDrain(t *testing.T) {
	Convey("Given a daemon that is shut down while it serves a request", t, func() {
		env := newTestEnv(t)
		env.configure(1, "/a/")
		slowStarted, finishSlow := make(chan struct{}), make(chan struct{})
		env.startTarget("i-1", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/a/slow" {
				close(slowStarted)
				<-finishSlow
			}
			_, _ = fmt.Fprint(rw, "served")
		})
		s, stop := env.startDaemon("vm-1", env.store.Listener.Addr().String())
		eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 200 })
		type answer struct {
			status int
			body   string
		}
		slowAnswer := make(chan answer, 1)
		go func() {
			status, body := get(s.Callers, "/a/slow")
			slowAnswer <- answer{status, body}
		}()
		<-slowStarted
		stop()
		eventually(func() bool { status, _ := get(s.Readiness, "/-/readiness"); return status == 503 })
		statuses := make(map[int]bool)
		eventually(func() bool { // callers with older directory answers are served until the daemon refuses
			resp, err := sendRequest(s.Callers, "/a/x")
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			statuses[resp.StatusCode] = true
			return resp.StatusCode == 503 && resp.Header.Get("Retry-After") != ""
		})
		close(finishSlow)
		Convey("the request completes, new requests are served or refused with Retry-After, and none is dropped", func() {
			So(<-slowAnswer, ShouldResemble, answer{200, "served"})
			for status := range statuses {
				So(status, ShouldBeIn, 200, 503)
			}
			eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 0 }) // the daemon has stopped
		})
	})
}

// storeAnswerTime is far more than a healthy store needs to answer a list request.
const storeAnswerTime = 500 * time.Millisecond

// TestChangesAreReadInTime guards against read periods that are too long. If all updates
// from peers are lost, every daemon must still read a change from the store within the
// two seconds in which the change has to reach every daemon.
func TestChangesAreReadInTime(t *testing.T) {
	const maxDelay = 2 * time.Second // as documented at the read periods
	Convey("Three periods and the answer of the store take at most the documented time", t, func() {
		for _, within := range []time.Duration{maxDelay, 3 * time.Second, 4 * time.Second} {
			s := DefaultSettings()
			s.ConfigurationWithin, s.LeavingWithin = jsontime.Duration(within), jsontime.Duration(within)
			So(3*readPeriods(&s)[platform.ConfigurationKind]+storeAnswerTime, ShouldBeLessThanOrEqualTo, within)
			So(3*readPeriods(&s)[platform.TargetKind]+storeAnswerTime, ShouldBeLessThanOrEqualTo, within)
		}
		s := DefaultSettings()
		So(s.ConfigurationWithin.Std(), ShouldBeLessThanOrEqualTo, maxDelay)
		So(s.LeavingWithin.Std(), ShouldBeLessThanOrEqualTo, maxDelay)
	})
}

// TestLargeFleetsStayAlive guards against load reports that become so rare with many
// daemons that live daemons are considered silent.
func TestLargeFleetsStayAlive(t *testing.T) {
	Convey("A daemon stays live for the interval of two load reports, also with hundreds of daemons", t, func() {
		for _, others := range []int{7, 75, 299, 759} {
			members := exchange.NewMemberList("self", 1)
			now := time.Unix(1_800_000_000, 0)
			members.RecordHeartbeat(now, "other", 1, false)
			So(members.Live(now.Add(2*loadInterval(others)), "other"), ShouldBeTrue)
		}
	})
}
