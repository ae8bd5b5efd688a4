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
	Convey("functions run one at a time, those of one sender in order", t, func() {
		l := NewLoop()
		stop := start(l)
		const senders, perSender = 8, 200
		state := make([][]int, senders) // touched by the loop only
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
	Convey("periodic functions run on the loop, again and again", t, func() {
		l := NewLoop()
		ticks := make(chan time.Time)
		l.Every(time.Millisecond, func(now time.Time) { ticks <- now })
		stop := start(l)
		first := <-ticks
		So((<-ticks).After(first), ShouldBeTrue)
		go func() { // let a tick that waits go on
			for range ticks {
			}
		}()
		stop()
		close(ticks)
	})
	Convey("a loop that stopped says so", t, func() {
		l := NewLoop()
		start(l)()
		So(errors.Is(l.Post(func(time.Time) {}), ErrStopped), ShouldBeTrue)
		_, err := Call(background, l, func(time.Time) int { return 1 })
		So(errors.Is(err, ErrStopped), ShouldBeTrue)
	})
	Convey("a question ends with its context", t, func() {
		l := NewLoop() // does not run
		ctx, cancel := context.WithCancel(background)
		cancel()
		_, err := Call(ctx, l, func(time.Time) int { return 1 })
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
	})
}
