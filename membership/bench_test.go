package membership

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/peer"
)

// benchRumor returns a rumor with names and addresses of typical length.
func benchRumor(i int) Rumor {
	return Rumor{Identity: peer.Identity{ID: fmt.Sprintf("entry-vm-%04d", i), Incarnation: 1_700_000_000_000_000_000 + uint64(i),
		Place: "velika-dvorana", Region: "osrednja", APIAddress: fmt.Sprintf("10.10.%d.%d:7100", i/250, i%250),
		PeerAddress: fmt.Sprintf("10.10.%d.%d:7200", i/250, i%250)}, Version: 100_000}
}

func benchMachine(n int) *Machine {
	m := New(Made{Self: benchRumor(0).Identity, Settings: DefaultSettings()})
	for i := 1; i < n; i++ {
		m.Step(start, Synced{[]Rumor{benchRumor(i)}})
	}
	m.Step(start, PlatformSeen{})
	return m
}

// BenchmarkSecond measures the work of one daemon in one second: it sends one probe,
// answers one probe, both with the maximum number of rumors, and builds a view.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{8, 64, 760} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := benchMachine(n)
			now, i := start, 0
			for b.Loop() {
				now = now.Add(ProbePeriod)
				i++
				m.Step(now, Tick{})
				m.Step(now, Probed{ID: "entry-vm-0001", OK: true})
				for range 2 {
					msg := Message{From: benchRumor(1 + i%(n-1))}
					for k := range maxRumors {
						r := benchRumor(1 + (i+k)%(n-1))
						r.Counter = uint64(i)
						msg.Rumors = append(msg.Rumors, r)
					}
					m.Step(now, Heard{msg})
				}
				m.View()
			}
			full := Message{From: benchRumor(1)}
			for k := range maxRumors {
				full.Rumors = append(full.Rumors, benchRumor(k))
			}
			body, err := msgpack.Marshal(full)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(body)), "B/full-message")
		})
	}
}
