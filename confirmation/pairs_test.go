package confirmation

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/freeport"
	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/platform"
)

// countingTarget is a target that counts the runs of each key.
type countingTarget struct {
	mu   sync.Mutex
	runs map[string]int
}

// Dispatch implements Dispatcher.
func (t *countingTarget) Dispatch(_ context.Context, r Request) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Service == "closed" {
		return Record{Outcome: failure.NotRun}
	}
	t.runs[r.Key]++
	return Record{Outcome: failure.Ran, Status: 200, Answer: fmt.Sprintf("run %d of %s", t.runs[r.Key], r.Key)}
}

// cluster is a set of daemons in this process.
type cluster struct {
	store   *httptest.Server
	target  *countingTarget
	daemons []*PairService
	stops   []func()
}

func newCluster(count int) *cluster {
	s := &cluster{store: httptest.NewServer(standin.NewPlatform().Handler()), target: &countingTarget{runs: make(map[string]int)}}
	var members []membership.Member
	for i := range count {
		address, err := freeport.Address()
		So(err, ShouldBeNil)
		members = append(members, membership.Member{State: membership.Alive, Identity: peer.Identity{
			ID: fmt.Sprint("vm-", i), Incarnation: uint64(i + 1), Place: fmt.Sprint("place-", i), PeerAddress: address,
		}})
	}
	for _, m := range members {
		s.start(m.Identity, &membership.View{Self: m.Identity, Members: members})
	}
	return s
}

func (s *cluster) start(self peer.Identity, view *membership.View) {
	events := event.NewRecorder(self.ID, event.NewClock(time.Now), log.NewJSONLogger(io.Discard), 64)
	transport, err := peer.Listen(self, events)
	So(err, ShouldBeNil)
	store := platform.NewClient(s.store.URL, metrics.NewRegistry())
	loop := control.NewLoop()
	p := NewPairService(Config{
		Self: self, Settings: DefaultSettings(), Loop: loop, Transport: transport, Store: store,
		View: func() *membership.View { return view }, Dispatcher: s.target, Events: events,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, fn := range []func(){func() { loop.Run(ctx) }, transport.Serve, func() { p.Run(ctx) }} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			fn()
		}()
	}
	s.daemons = append(s.daemons, p)
	s.stops = append(s.stops, sync.OnceFunc(func() {
		cancel()
		transport.Close()
		wg.Wait()
		store.Close()
	}))
}

func (s *cluster) close() {
	for _, stop := range s.stops {
		stop()
	}
	s.store.Close()
}

// issue returns a key of daemon i. It retries until the daemon issues keys.
func (s *cluster) issue(i int) string {
	for {
		key, err := s.daemons[i].IssueKey(context.Background())
		if err == nil {
			return key
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// confirm repeats a request until the outcome is final, as client.Confirm does.
func (s *cluster) confirm(i int, r Request) (Record, *failure.Error) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		rec, err := s.daemons[i].Confirm(ctx, r)
		cancel()
		if err == nil && (rec.Outcome != failure.Unknown || rec.RetryAfter == 0) || err != nil && err.RetryAfter == 0 {
			return rec, err
		}
	}
}

func TestPairs(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given four daemons", t, func() {
		s := newCluster(4)
		Reset(s.close)
		r := Request{Key: s.issue(0), Service: "vpis", Body: "stand 12"}
		Convey("a key has one outcome at every daemon and runs once", func() {
			first, err := s.confirm(0, r)
			So(err, ShouldBeNil)
			So(first.Outcome, ShouldEqual, failure.Ran)
			for i := range s.daemons {
				repeated, err := s.confirm(i, r)
				So(err, ShouldBeNil)
				So(repeated, ShouldResemble, first)
				found, err := s.daemons[i].Lookup(context.Background(), r.Key)
				So(err, ShouldBeNil)
				So(found, ShouldResemble, first)
			}
			So(s.target.runs[r.Key], ShouldEqual, 1)
			other := r
			other.Body = "stand 13"
			_, err = s.confirm(1, other)
			So(err.Code, ShouldEqual, failure.Conflict)
			So(err.Outcome, ShouldEqual, failure.NotRun)
		})
		Convey("a call that no target accepted keeps the outcome not_run", func() {
			r.Service = "closed"
			rec, err := s.confirm(1, r)
			So(err, ShouldBeNil)
			So(rec.Outcome, ShouldEqual, failure.NotRun)
			r.Service = "vpis"
			_, err = s.confirm(2, r)
			So(err.Code, ShouldEqual, failure.Conflict)
			So(s.target.runs[r.Key], ShouldEqual, 0)
		})
		Convey("when a daemon stops, no outcome is lost and its pairs continue", func() {
			want := make(map[string]Record)
			for range 20 {
				key := s.issue(0)
				rec, err := s.confirm(0, Request{Key: key, Service: "vpis"})
				So(err, ShouldBeNil)
				want[key] = rec
			}
			unusedKey := s.issue(0)
			s.stops[0]()
			for key, rec := range want {
				repeated, err := s.confirm(2, Request{Key: key, Service: "vpis"})
				So(err, ShouldBeNil)
				So(repeated, ShouldResemble, rec)
				So(s.target.runs[key], ShouldEqual, 1)
			}
			rec, err := s.confirm(1, Request{Key: unusedKey, Service: "vpis"})
			So(err, ShouldBeNil)
			So(rec.Outcome, ShouldEqual, failure.Ran)
		})
	})
}
