// Package lag measures how long work of this process waits for a processor. What takes
// longer than usual then, such as the answer to a message, may have waited here.
package lag

import (
	"context"
	"sync"
	"time"
)

const (
	// interval is the time between two wake-ups whose lateness is measured.
	interval = 50 * time.Millisecond
	// minLate is the smallest lateness that is recorded.
	minLate = 5 * time.Millisecond
	// keepFor is how long it is known.
	keepFor = 5 * time.Second
)

// Meter measures how late a periodic wake-up is. The zero value is a meter that has seen no
// lateness. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	due     time.Time // of the next wake-up; zero while Run does not run
	records []record  // the oldest first
}

// record is the lateness of a wake-up.
type record struct {
	at   time.Time
	late time.Duration
}

// Run measures until ctx is done. It calls onLate after each wake-up that is late by at least
// above.
func (m *Meter) Run(ctx context.Context, above time.Duration, onLate func(late time.Duration)) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		due := time.Now().Add(interval)
		m.setDue(due)
		timer.Reset(interval)
		select {
		case <-ctx.Done():
			m.setDue(time.Time{})
			return
		case <-timer.C:
		}
		now := time.Now()
		late := now.Sub(due)
		m.Record(now, late)
		if late >= above {
			onLate(late)
		}
	}
}

func (m *Meter) setDue(due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = due
}

// Record records that something was late by a duration at a time.
func (m *Meter) Record(at time.Time, late time.Duration) {
	if late < minLate {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.records) > 0 && at.Sub(m.records[0].at) > keepFor {
		m.records = m.records[1:]
	}
	m.records = append(m.records, record{at, late})
}

// Since returns the greatest lateness from a time on until now, at most some seconds ago.
func (m *Meter) Since(since, now time.Time) (greatest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.due.IsZero() {
		greatest = max(0, now.Sub(m.due)) // the wake-up that is due has yet to happen
	}
	for _, r := range m.records {
		if !r.at.Before(since) {
			greatest = max(greatest, r.late)
		}
	}
	return greatest
}
