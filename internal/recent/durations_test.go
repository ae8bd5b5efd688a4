package recent

import (
	"testing"
	"time"
)

// TestQuantile guards against an estimate that a single outlier or old work decides.
func TestQuantile(t *testing.T) {
	var d Durations
	for range 3 {
		d.Record("a", time.Hour)
	}
	if _, ok := d.Quantile("a", 0.9, 4); ok {
		t.Error("a quantile of too few samples")
	}
	for range MaxSamples {
		d.Record("a", time.Hour) // dropped by what follows
	}
	for i := range MaxSamples {
		d.Record("a", time.Duration(i+1)*time.Millisecond)
	}
	d.Record("b", time.Second)
	for q, want := range map[float64]time.Duration{0.01: time.Millisecond, 0.5: 16 * time.Millisecond, 0.9: 29 * time.Millisecond, 1: 32 * time.Millisecond} {
		if got, ok := d.Quantile("a", q, 1); !ok || got != want {
			t.Errorf("quantile %v is %v, want %v", q, got, want)
		}
	}
}
