package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick measures the choice among six targets that 300 daemons use, with and without
// stated loads.
func BenchmarkPick(b *testing.B) {
	for _, states := range []bool{false, true} {
		b.Run(fmt.Sprintf("states load %t", states), func(b *testing.B) {
			f := newTestFleet(6)
			f.SetStaleness(500 * time.Millisecond)
			f.SetReportAge(750 * time.Millisecond)
			for d := range 300 {
				f.SetPeerLoads(fmt.Sprint("d", d), map[string]DaemonLoad{fmt.Sprint("t", d%6): {Running: 1}})
			}
			for i := range 6 {
				if states {
					f.RecordLoad(start, Target{ID: fmt.Sprint("t", i)}, LoadStatement{Running: i, Slots: 6, Slowness: 1})
				}
			}
			b.ReportAllocs()
			for i := range b.N {
				if _, err := f.Pick(start.Add(time.Duration(i)*time.Microsecond), Criteria{Service: "s"}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
