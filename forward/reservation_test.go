package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// reserver reserves room at fake targets, as room says.
type reserver struct {
	took time.Duration // until a target answers
	none bool          // targets reserve no room
	room func(target string) bool

	mu       sync.Mutex
	reserved map[string]string // target by id of its reservation
	ended    []string
	asked    int
}

func (r *reserver) Reserve(ctx context.Context, t fleet.Target, tokens int, _ time.Duration) (string, error) {
	select {
	case <-time.After(r.took):
	case <-ctx.Done():
		return "", ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	if tokens <= 0 || r.none {
		return "", errors.WithStack(ErrNoReservations)
	}
	if !r.room(t.ID) {
		return "", errors.WithStack(ErrNoRoom)
	}
	id := fmt.Sprintf("%s-%d", t.ID, len(r.reserved))
	r.reserved[id] = t.ID
	return id, nil
}

func (r *reserver) EndReservation(_ context.Context, _ fleet.Target, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, id)
	return nil
}

// queueing is a client of targets that answer probes and have the runs that wait in their queues: they
// neither report nor move them.
type queueing struct {
	*fakeTargetClient
	waits func() bool
}

func (q queueing) Report(ctx context.Context, t fleet.Target) (Report, error) {
	r, err := q.fakeTargetClient.Report(ctx, t)
	if q.waits() {
		r.Queued, r.Running = 1, map[string]RunStatus{"other": {Events: 9}}
	}
	return r, err
}

func (q queueing) Move(ctx context.Context, source fleet.Target, id string, destination fleet.Target) (Copy, fleet.Target, error) {
	if q.waits() && source.ID == "a" {
		return Copy{}, fleet.Target{}, errors.WithStack(ErrRunNotFound)
	}
	return q.fakeTargetClient.Move(ctx, source, id, destination)
}

// reservedOnly lets runs without a reservation wait in the queue, and refuses those that resume from a
// copy if there is none.
func reservedOnly(hasCopy bool, b behaviour) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		switch {
		case a.Resume != (Copy{}) && !hasCopy:
			return answering(http.StatusServiceUnavailable, true)(ctx, a, s)
		case a.Reservation == "":
			return hanging(ctx, a, s)
		}
		return b(ctx, a, s)
	}
}

// TestStreamLeavesItsPlaceOnlyForReservedRoom guards against streams that leave the target where their
// run waits for a slot, or a copy, that only their daemon believes in: the next target refuses them, or
// has them in its queue, and their place is lost (issue 54).
func TestStreamLeavesItsPlaceOnlyForReservedRoom(t *testing.T) {
	const waitsFrom, waitsFor = 2 * time.Second, 5 * time.Second
	for name, c := range map[string]struct {
		room time.Duration // since the request
		at   string        // where; empty for all other targets
	}{"never": {time.Hour, ""}, "at once": {0, ""}, "later": {waitsFrom + 2*time.Second, ""}, "at b": {0, "b"}, "at c": {0, "c"}} {
		for _, copies := range []string{"none", "planned", "made", "made, no tokens stated"} {
			for _, took := range []time.Duration{5 * time.Millisecond, time.Second} {
				for _, signaled := range []time.Duration{time.Hour, time.Second, waitsFrom + time.Second} {
					t.Run(fmt.Sprintf("room %s, copies %s, asked in %v, stop after %v", name, copies, took, signaled), inBubble(func(t *testing.T) {
						start := time.Now()
						var lastWork atomic.Int64
						b := waitingFor(start, waitsFrom, waitsFor, &lastWork)
						s := newFixture(map[string]behaviour{"a": b, "b": reservedOnly(copies != "planned", b), "c": reservedOnly(copies != "planned", b)})
						client := queueing{s.client, func() bool { at := time.Since(start); return at > waitsFrom && at < waitsFrom+waitsFor }}
						s.TargetClient, s.Prober = client, NewProber(client, s.Fleet, s.Events)
						reserver := &reserver{took: took, reserved: make(map[string]string), room: func(id string) bool { return time.Since(start) >= c.room && (c.at == "" || c.at == id) }}
						s.Reserver = reserver
						s.Model = func(string) *ingress.Model {
							return &ingress.Model{KVCacheTokens: 50_000, StandbyCopies: copies != "none", MaxReservation: 2 * time.Second}
						}
						s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 2}, "c": {Running: 2}}) // so that it begins at a
						s.signalAt(start.Add(signaled))
						got, r := &fakeResponder{}, newStreamRequest("r1")
						if r.Prompt.Tokens, r.Prompt.MaxOutputTokens = 5000, 1000; copies == "made, no tokens stated" {
							r.Prompt.Tokens, r.Prompt.MaxOutputTokens = 0, 0
						}
						s.Serve(context.Background(), r, got)
						sent := s.client.attempts()
						for i := 1; i < len(sent); i++ {
							if a := s.client.attempt(i); reserver.reserved[a.Reservation] != a.Target.ID {
								t.Errorf("attempt %d went to %s with reservation %q, want one of this target", i, a.Target.ID, a.Reservation)
							}
						}
						if mayLeave := c.room < waitsFrom+waitsFor && took < reserveTimeout; (len(sent) > 1) != mayLeave || !got.ended {
							t.Errorf("sent to %v, want a only: %v; ended: %v", sent, !mayLeave, got.ended)
						}
						for i, e := range got.events {
							if want := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i); e != want {
								t.Fatalf("event %d is %q", i, e)
							}
						}
						s.awaitStops()
						time.Sleep(time.Second)
						synctest.Wait()
					}))
				}
			}
		}
	}
}

// TestReservationOfARunThatGoesOnIsEnded guards against room that stays reserved for a stream that
// doesn't need it any more.
func TestReservationOfARunThatGoesOnIsEnded(t *testing.T) {
	asked, ended := 0, 0
	const waitsFrom, took = 2 * time.Second, 150 * time.Millisecond
	for waitsFor := 600 * time.Millisecond; waitsFor < time.Second; waitsFor += 25 * time.Millisecond {
		t.Run(waitsFor.String(), inBubble(func(t *testing.T) {
			start := time.Now()
			var lastWork atomic.Int64
			b := waitingFor(start, waitsFrom, waitsFor, &lastWork)
			s := newFixture(map[string]behaviour{"a": b, "b": reservedOnly(true, b)})
			client := queueing{s.client, func() bool { at := time.Since(start); return at > waitsFrom && at < waitsFrom+waitsFor }}
			s.TargetClient, s.Prober = client, NewProber(client, s.Fleet, s.Events)
			reserver := &reserver{took: took, reserved: make(map[string]string), room: func(string) bool { return true }}
			s.Reserver = reserver
			s.Model = func(string) *ingress.Model {
				return &ingress.Model{KVCacheTokens: 50_000, StandbyCopies: true, MaxReservation: 2 * time.Second}
			}
			s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 2}}) // so that it begins at a
			if got := s.serve(t, streamRoute); !got.ended {
				t.Errorf("the stream did not end: %v", got.err)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			used := make(map[string]bool)
			for i := range s.client.attempts() {
				used[s.client.attempt(i).Reservation] = true
			}
			for id := range reserver.reserved {
				if used[id] == slices.Contains(reserver.ended, id) {
					t.Errorf("reservation %s: used %v, ended %v, want one of both", id, used[id], !used[id])
				}
			}
			asked, ended = asked+reserver.asked, ended+len(reserver.ended)
		}))
	}
	if asked == 0 || ended == 0 {
		t.Errorf("%d reservations were asked for, and %d ended, want some of both", asked, ended)
	}
}

// startingLate answers like b, but begins only after d.
func startingLate(d time.Duration, b behaviour) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		select {
		case <-time.After(d):
			return b(ctx, a, s)
		case <-ctx.Done():
			return nil, errors.Wrap(ErrNoAnswer, ctx.Err().Error())
		}
	}
}

// TestResumedRunKeepsItsPlace guards against streams that are sent on from a target which has their
// copy and admits them next, to one that has not reserved room: three of eight daemons in the record
// of issue 54.
func TestResumedRunKeepsItsPlace(t *testing.T) {
	const lostAt, startsAfter = 60, 3 * time.Second
	for _, reserves := range []bool{false, true} {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprintf("the next target reserves room: %v, the daemon stops: %v", reserves, stops), inBubble(func(t *testing.T) {
				next := streaming(200, -1, eventGap, nil)
				s := newFixture(map[string]behaviour{"a": streaming(200, lostAt, eventGap, errors.Wrap(ErrNoAnswer, "broken")), "b": startingLate(startsAfter, next), "c": reservedOnly(false, next)})
				s.Reserver = &reserver{took: 5 * time.Millisecond, reserved: make(map[string]string), room: func(string) bool { return reserves }}
				s.Model = func(string) *ingress.Model {
					return &ingress.Model{KVCacheTokens: 50_000, StandbyCopies: true, MaxReservation: 2 * time.Second}
				}
				s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 2}, "c": {Running: 3, MemoryTokens: 20_000}}) // so that it begins at a, and b has the copy
				if stops {
					s.signalAt(time.Now().Add(time.Second))
				}
				got, want := s.serve(t, streamRoute), []string{"a", "b"}
				if reserves {
					want = append(want, "c")
				}
				if sent := s.client.attempts(); !slices.Equal(sent, want) || !got.receivedAll(200) {
					t.Errorf("sent to %v, want %v; the caller got %d events (want 201), error %v", sent, want, len(got.events), got.err)
				}
				s.awaitStops()
				time.Sleep(time.Second)
				synctest.Wait()
			}))
		}
	}
}

// TestTargetsThatReserveNothingGetStreams guards against streams that stay where their run waits because
// no target reserves room: their daemon's knowledge of the others' loads is the best there is then.
func TestTargetsThatReserveNothingGetStreams(t *testing.T) {
	for name, change := range map[string]func(*fixture, *reserver){
		"none stated": func(s *fixture, _ *reserver) {
			s.Model = func(string) *ingress.Model { return &ingress.Model{StandbyCopies: true} }
		},
		"no client":              func(s *fixture, _ *reserver) { s.Reserver = nil },
		"stated, and not served": func(_ *fixture, r *reserver) { r.none = true },
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			start := time.Now()
			var lastWork atomic.Int64
			b := waitingFor(start, 2*time.Second, time.Minute, &lastWork)
			s := newFixture(map[string]behaviour{"a": b, "b": b})
			reserver := &reserver{reserved: make(map[string]string), room: func(string) bool { return true }}
			s.Reserver = reserver
			client := queueing{s.client, func() bool { return time.Since(start) > 2*time.Second }}
			s.TargetClient, s.Prober = client, NewProber(client, s.Fleet, s.Events)
			s.Model = func(string) *ingress.Model { return &ingress.Model{StandbyCopies: true, MaxReservation: time.Second} }
			s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 2}}) // so that it begins at a
			change(s, reserver)
			if got := s.serve(t, streamRoute); !got.ended || len(s.client.attempts()) != 2 {
				t.Errorf("sent to %v, want a and b; the stream ended: %v", s.client.attempts(), got.ended)
			}
		}))
	}
}

// TestQueuedStreamReturnsToReservedRoom guards against streams that leave the queue of a target for
// the one that they were taken from, which has no room for them any more, and against streams that
// stay there because it doesn't reserve any.
func TestQueuedStreamReturnsToReservedRoom(t *testing.T) {
	const slots = 8
	for name, c := range map[string]struct{ reserves, none bool }{"reserves room": {reserves: true}, "refuses": {}, "makes no reservations": {none: true}} {
		t.Run("the first target "+name, inBubble(func(t *testing.T) {
			q := &slotQueue{free: make(chan struct{}, slots)}
			s := newFixture(map[string]behaviour{"a": pausable(150, eventGap), "b": q.limit(pausable(150, eventGap))})
			client := fullReporter{s.client, q}
			s.TargetClient, s.Prober = client, NewProber(client, s.Fleet, s.Events)
			s.Reserver = &reserver{took: 5 * time.Millisecond, reserved: make(map[string]string), none: c.none, room: func(string) bool { return c.reserves }}
			s.Model = func(string) *ingress.Model { return &ingress.Model{MaxReservation: time.Second} }
			s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: slots}}) // so that it begins at a
			for range slots {
				q.free <- struct{}{}
			}
			time.AfterFunc(time.Second, func() {
				s.Fleet.SetPeerLoads("vm-2", nil)
				s.client.pauseFor(3*time.Second, "a")
			})
			time.AfterFunc(8*time.Second, func() {
				for range slots {
					<-q.free
				}
			})
			got, want := &fakeResponder{}, []string{"a", "b"}
			if c.reserves || c.none {
				want = append(want, "a")
			}
			s.Serve(context.Background(), newStreamRequest("r1"), got)
			if sent := s.client.attempts(); !slices.Equal(sent, want) || !got.receivedAll(150) {
				t.Errorf("sent to %v, want %v; the caller got %d events (want 151), error %v", sent, want, len(got.events), got.err)
			}
			if sent := s.client.attempts(); c.reserves && s.client.attempt(len(sent)-1).Reservation == "" {
				t.Error("the stream returned without a reservation")
			}
			s.awaitStops()
			time.Sleep(time.Second)
			synctest.Wait()
		}))
	}
}

// TestReservedRoomOutweighsLoads guards against streams that give up the room which a target has reserved
// because the daemons' loads, which are old, say that it has none (issue 54).
func TestReservedRoomOutweighsLoads(t *testing.T) {
	for name, load := range map[string]fleet.DaemonLoad{"no memory": {Running: 2, MemoryTokens: 70_000}, "one slot": {Running: 7, MemoryTokens: 70_000}} {
		t.Run(name, inBubble(func(t *testing.T) {
			start := time.Now()
			var lastWork atomic.Int64
			b := waitingFor(start, 2*time.Second, 20*time.Second, &lastWork)
			s := newFixture(map[string]behaviour{"a": b, "b": reservedOnly(false, b)})
			client := queueing{s.client, func() bool { return time.Since(start) > 2*time.Second }}
			s.TargetClient, s.Prober = client, NewProber(client, s.Fleet, s.Events)
			s.Reserver = &reserver{took: 5 * time.Millisecond, reserved: make(map[string]string), room: func(string) bool { return true }}
			s.Model = func(string) *ingress.Model {
				return &ingress.Model{KVCacheTokens: 50_000, StandbyCopies: true, MaxReservation: 2 * time.Second}
			}
			s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 2}}) // so that it begins at a
			time.AfterFunc(time.Second, func() { s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": load}) })
			got := s.serve(t, streamRoute)
			if sent, want := s.client.attempts(), []string{"a", "b", "b"}; !slices.Equal(sent, want) || !got.ended {
				t.Errorf("sent to %v, want %v; ended: %v", sent, want, got.ended)
			}
			s.awaitStops()
			time.Sleep(time.Second)
			synctest.Wait()
		}))
	}
}
