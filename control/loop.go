// Package control runs the one goroutine that owns the control state of a daemon.
// The goroutines that handle requests never access that state: they read published
// snapshots, or post a function to the Loop.
package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrStopped is returned after the loop has stopped.
var ErrStopped = errors.New("control loop stopped")

// mailboxCapacity is the maximum number of posted functions that have not run yet.
const mailboxCapacity = 4096

// Loop runs functions on the control goroutine, one at a time and in the order in
// which they were posted.
type Loop struct {
	mailbox  chan func(now time.Time)
	periodic []periodicTask
	stopped  chan struct{}
}

type periodicTask struct {
	period time.Duration
	next   time.Time
	fn     func(now time.Time)
}

// NewLoop returns a Loop; call Run to start it.
func NewLoop() *Loop {
	return &Loop{mailbox: make(chan func(time.Time), mailboxCapacity), stopped: make(chan struct{})}
}

// Every runs fn on the loop once per period. It must be called before Run.
func (l *Loop) Every(period time.Duration, fn func(now time.Time)) {
	l.periodic = append(l.periodic, periodicTask{period: period, fn: fn})
}

// Run runs the loop until ctx is done. Functions passed to Post, Call and Every
// must not block.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.mailbox:
			fn(time.Now())
		case now := <-timer.C:
			timer.Reset(l.runPeriodic(now))
		}
	}
}

// idleInterval is the longest time between two checks for periodic tasks that are due.
const idleInterval = time.Second

// runPeriodic runs the periodic tasks that are due and returns the time until the
// next check: when the next task is due, but after 1 ms at the earliest.
func (l *Loop) runPeriodic(now time.Time) time.Duration {
	wait := idleInterval
	for i := range l.periodic {
		t := &l.periodic[i]
		if !now.Before(t.next) {
			t.fn(now)
			t.next = now.Add(t.period)
		}
		wait = min(wait, t.next.Sub(now))
	}
	return max(wait, time.Millisecond)
}

// Post queues fn for the loop and returns without waiting for it to run. It blocks
// only while the mailbox is full.
func (l *Loop) Post(fn func(now time.Time)) error {
	select {
	case <-l.stopped:
		return ErrStopped
	default:
	}
	select {
	case l.mailbox <- fn:
		return nil
	case <-l.stopped:
		return ErrStopped
	}
}

// Call runs fn on the loop, waits for it and returns its result. It returns early
// when ctx is done or the loop stops; fn may still run in that case.
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
	case <-l.stopped:
		return zero, ErrStopped
	}
}
