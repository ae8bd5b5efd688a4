package generation

import (
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// streamingMachine returns a machine whose first attempt is streaming, and the time
// of its last step.
func streamingMachine() (*Machine, time.Time) {
	now := time.Unix(1000, 0)
	m := NewMachine(Setup{Settings: DefaultSettings(), FirstAttempt: 1})
	m.Start(now)
	m.Step(now, Routed{Attempt: 1, Target: "a", Version: "1"})
	return m, now
}

func BenchmarkMachineToken(b *testing.B) {
	m, now := streamingMachine()
	b.ReportAllocs()
	for i := range int64(b.N) {
		m.Step(now, Received{1, 1, target.StreamEvent{Kind: target.TokenEvent, Position: i, Text: "token"}})
	}
}

func BenchmarkMachineTick(b *testing.B) {
	m, now := streamingMachine()
	b.ReportAllocs()
	for range b.N {
		m.Step(now, Tick{})
	}
}

func BenchmarkAnswerToken(b *testing.B) {
	a := NewAnswer(nil, Cursor{})
	c := Cursor{Target: "engine-1", Version: "1", Attempt: randomFirstAttempt(), Daemon: "127.0.0.1:7200"}
	b.ReportAllocs()
	for i := range int64(b.N) {
		a.add("token", c)
		_ = a.CursorAt(i + 1).Encode()
	}
}

func BenchmarkClaims(b *testing.B) {
	c, now := NewClaims(), time.Unix(1000, 0)
	ids := make([]string, maxClaims)
	for i := range ids {
		ids[i] = "request-" + time.Duration(i).String()
	}
	b.ReportAllocs()
	for i := range b.N {
		c.Swap(now, ids[i%len(ids)], "127.0.0.1:7200")
	}
}
