// Package control runs the one goroutine that owns a daemon's control state.
// Traffic goroutines never touch that state: they read published snapshots, or
// post a function to the loop.
package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrStopped is returned when the loop no longer runs.
var ErrStopped = errors.New("control loop stopped")

// mailboxLen bounds the functions that wait for the loop.
const mailboxLen = 4096

// Loop owns control state. Functions run one after another in the order posted.
type Loop struct {
	mail  chan func(now time.Time)
	ticks []tick
	done  chan struct{}
}

type tick struct {
	every time.Duration
	next  time.Time
	fn    func(now time.Time)
}

// NewLoop returns a loop that does not run yet.
func NewLoop() *Loop {
	return &Loop{mail: make(chan func(time.Time), mailboxLen), done: make(chan struct{})}
}

// Every runs fn on the loop at each period. It must be called before Run.
func (l *Loop) Every(period time.Duration, fn func(now time.Time)) {
	l.ticks = append(l.ticks, tick{every: period, fn: fn})
}

// Run runs the loop until ctx ends. fn passed to Post must not block.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.mail:
			fn(time.Now())
		case now := <-timer.C:
			timer.Reset(l.runTicks(now))
		}
	}
}

// idleWait is the timer period of a loop without ticks.
const idleWait = time.Second

func (l *Loop) runTicks(now time.Time) time.Duration {
	wait := idleWait
	for i := range l.ticks {
		t := &l.ticks[i]
		if !now.Before(t.next) {
			t.fn(now)
			t.next = now.Add(t.every)
		}
		wait = min(wait, t.next.Sub(now))
	}
	return max(wait, time.Millisecond)
}

// Post queues fn and returns at once. It blocks only while the mailbox is full.
func (l *Loop) Post(fn func(now time.Time)) error {
	select {
	case <-l.done:
		return ErrStopped
	default:
	}
	select {
	case l.mail <- fn:
		return nil
	case <-l.done:
		return ErrStopped
	}
}

// Call runs fn on the loop and returns its result.
func Call[T any](ctx context.Context, l *Loop, fn func(now time.Time) T) (T, error) {
	var zero T
	reply := make(chan T, 1)
	if err := l.Post(func(now time.Time) { reply <- fn(now) }); err != nil {
		return zero, err
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return zero, errors.WithStack(ctx.Err())
	case <-l.done:
		return zero, ErrStopped
	}
}
