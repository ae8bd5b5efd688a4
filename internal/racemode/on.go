//go:build race

package racemode

// Enabled reports whether the race detector is on.
const Enabled = true

// Seeds returns a tenth of n, at least one.
func Seeds(n int) int { return max(1, n/10) }
