package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestLoop(t *testing.T) {
	defer goleak.VerifyNone(t)
	background := context.Background()
	start := func(l *Loop) (stop func()) {
		ctx, cancel := context.WithCancel(background)
		finished := make(chan struct{})
		go func() {
			l.Run(ctx)
			close(finished)
		}()
		return func() {
			cancel()
			<-finished
		}
	}
	Convey("functions run one at a time, and those of one sender in the order posted", t, func() {
		l := NewLoop()
		stop := start(l)
		const senders, perSender = 8, 200
		state := make([][]int, senders) // accessed only on the loop
		var wg sync.WaitGroup
		for s := range senders {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range perSender {
					_ = l.Post(func(time.Time) { state[s] = append(state[s], i) })
				}
			}()
		}
		wg.Wait()
		got, err := Call(background, l, func(time.Time) [][]int { return state })
		So(err, ShouldBeNil)
		for s := range senders {
			So(got[s], ShouldHaveLength, perSender)
			for i := range perSender {
				So(got[s][i], ShouldEqual, i)
			}
		}
		stop()
	})
	Convey("a periodic function runs on the loop repeatedly", t, func() {
		l := NewLoop()
		ticks := make(chan time.Time)
		l.Every(time.Millisecond, func(now time.Time) { ticks <- now })
		stop := start(l)
		first := <-ticks
		So((<-ticks).After(first), ShouldBeTrue)
		go func() { // receives ticks so that the loop is not blocked in sending one
			for range ticks {
			}
		}()
		stop()
		close(ticks)
	})
	Convey("a stopped loop returns ErrStopped", t, func() {
		l := NewLoop()
		start(l)()
		So(errors.Is(l.Post(func(time.Time) {}), ErrStopped), ShouldBeTrue)
		_, err := Call(background, l, func(time.Time) int { return 1 })
		So(errors.Is(err, ErrStopped), ShouldBeTrue)
	})
	Convey("a call ends when its context is canceled", t, func() {
		l := NewLoop() // never started
		ctx, cancel := context.WithCancel(background)
		cancel()
		_, err := Call(ctx, l, func(time.Time) int { return 1 })
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
	})
}
