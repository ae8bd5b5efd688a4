// Package replayers lists the slices (subsystems) whose decisions can be replayed from
// a trace.
package replayers

import (
	"github.com/vanillaroad/vanillaroad/admission"
	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/confirmation"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/routing"
	"github.com/vanillaroad/vanillaroad/trace"
)

// All returns the machine factory of each slice, by slice name.
func All() map[string]trace.MachineFactory {
	return map[string]trace.MachineFactory{
		generation.TraceSlice:    generation.NewReplay,
		confirmation.TraceSlice:  confirmation.NewReplay,
		configuration.TraceSlice: configuration.NewReplay,
		membership.TraceSlice:    membership.NewReplay,
		admission.TraceSlice:     admission.NewReplay,
		routing.TraceSlice:       routing.NewReplay,
	}
}
