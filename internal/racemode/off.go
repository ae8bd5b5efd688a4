//go:build !race

// Package racemode reports whether tests run under the race detector, which makes simulations
// ten times slower and finds nothing in those that have one goroutine.
package racemode

// Enabled reports whether the race detector is on.
const Enabled = false

// Seeds returns the number of seeds of a simulation with one goroutine: all n without the race
// detector, and a tenth under it.
func Seeds(n int) int { return n }
