package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/exchange"
)

// startTarget starts one more target of the world's service.
func (e *testEnv) startTarget(id string, serve http.HandlerFunc) {
	s := httptest.NewServer(targetHandler("stamp-"+id, serve))
	e.t.Cleanup(s.Close)
	e.registerTarget(id, s)
}

// TestPoisonIsKnownToAllDaemons plays a request that kills whatever runs it: once one
// daemon knows, the others refuse it without a send, and serve what is innocent. So does
// one that begins afterwards.
func TestPoisonIsKnownToAllDaemons(t *testing.T) {
	Convey("Given two daemons and four targets", t, func() {
		env := newTestEnv(t)
		env.configure(1, "/a/")
		var killed atomic.Int64
		for i := range 4 {
			env.startTarget(fmt.Sprint("i-", i), func(rw http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/a/poison") {
					killed.Add(1)
					panic(http.ErrAbortHandler) // closes the connection
				}
				_, _ = fmt.Fprint(rw, "served")
			})
		}
		store := env.store.Listener.Addr().String()
		startDaemon := func(id string) Settings {
			s, _ := env.startDaemon(id, store)
			eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 200 })
			return s
		}
		first, second := startDaemon("vm-1"), startDaemon("vm-2")
		lists := func(s Settings, other Settings) bool {
			_, body := get(s.Directory, "/-/resolve?name=h&zone=p")
			return strings.Contains(body, other.Callers)
		}
		eventually(func() bool { return lists(first, second) && lists(second, first) })
		quarantined := func(s Settings) bool {
			killedBefore := killed.Load()
			status, body := get(s.Callers, "/a/poison")
			return status == 503 && strings.Contains(body, "quarantined") && killed.Load() == killedBefore
		}
		eventually(func() bool { return quarantined(first) })
		killedOnFirst := killed.Load()
		crashedTargets := func(s Settings) int { // targets that it knows to have been killed
			targets := make(map[string]bool)
			for _, report := range env.gateways[s.ID].crashTracker.reports() {
				targets[report.Target] = true
			}
			return len(targets)
		}
		Convey("the other daemon, once told, refuses it, and both serve the innocent", func() {
			eventually(func() bool { return crashedTargets(second) == crashedTargets(first) })
			So(quarantined(second), ShouldBeTrue)
			So(killed.Load(), ShouldEqual, killedOnFirst)
			for _, s := range []Settings{first, second} {
				eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 200 })
			}
		})
		Convey("a daemon that begins afterwards is told once the others hear it", func() {
			third := startDaemon("vm-3")
			eventually(func() bool { return crashedTargets(third) == crashedTargets(first) })
			So(quarantined(third), ShouldBeTrue)
			So(killed.Load(), ShouldEqual, killedOnFirst)
		})
	})
}

// TestDrain plays a planned stop under a request that takes long.
func TestDrain(t *testing.T) {
	Convey("Given a daemon that is told to stop while it has a request", t, func() {
		env := newTestEnv(t)
		env.configure(1, "/a/")
		arrived, release := make(chan struct{}), make(chan struct{})
		env.startTarget("i-1", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/a/slow" {
				close(arrived)
				<-release
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
		<-arrived
		stop()
		eventually(func() bool { status, _ := get(s.Readiness, "/-/readiness"); return status == 503 })
		statuses := make(map[int]bool)
		eventually(func() bool { // until it refuses: callers with old directory answers are served
			resp, err := sendRequest(s.Callers, "/a/x")
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			statuses[resp.StatusCode] = true
			return resp.StatusCode == 503 && resp.Header.Get("Retry-After") != ""
		})
		close(release)
		Convey("the request ends whole, newcomers are served or refused with a time, and none is dropped", func() {
			So(<-slowAnswer, ShouldResemble, answer{200, "served"})
			for status := range statuses {
				So(status, ShouldBeIn, 200, 503)
			}
			eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 0 }) // the process is gone
		})
	})
}

// storeAnswerTime is far more than a store that is not in trouble takes for a list.
const storeAnswerTime = 500 * time.Millisecond

// TestChangesAreReadInTime: whatever news is lost, every daemon reads a change of the
// configuration by itself within the time in which it has to be in force.
func TestChangesAreReadInTime(t *testing.T) {
	const maxDelay = 2 * time.Second // as the comment of the periods promises
	Convey("Three periods and the answer of the store fit into the promise", t, func() {
		So(3*configurationReadPeriod+storeAnswerTime, ShouldBeLessThanOrEqualTo, maxDelay)
		So(3*targetReadPeriod+storeAnswerTime, ShouldBeLessThanOrEqualTo, maxDelay)
	})
}

// TestLargeFleetsStayAlive: however many daemons there are, each tells the others that it
// lives before they take it for gone.
func TestLargeFleetsStayAlive(t *testing.T) {
	Convey("A daemon of hundreds is heard in time", t, func() {
		for _, others := range []int{7, 75, 299, 759} {
			members := exchange.NewMemberList("self")
			now := time.Unix(1_800_000_000, 0)
			members.RecordHeartbeat(now, "other", false)
			So(members.Live(now.Add(2*loadInterval(others)), "other"), ShouldBeTrue)
		}
	})
}
