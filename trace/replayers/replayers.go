// Package replayers lists the slices whose decisions a trace can replay.
package replayers

import (
	"github.com/vanillaroad/vanillaroad/confirmation"
	"github.com/vanillaroad/vanillaroad/trace"
)

// All returns the makers by slice.
func All() map[string]trace.Maker {
	return map[string]trace.Maker{confirmation.TraceSlice: confirmation.Maker}
}
