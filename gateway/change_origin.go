package gateway

import (
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// Sources of a change, as named in log lines.
const (
	sourceStore    = "store"
	sourceUpdate   = "update"   // broadcast by a daemon that read the store
	sourceSnapshot = "snapshot" // fetched from a peer
	sourcePeer     = "peer"     // the configuration that a peer has in force
)

// changeOrigin says how a change reached this daemon.
type changeOrigin struct {
	source    string
	took      time.Duration // of the read of the store, or from an update's first byte to its last
	waited    time.Duration // of an update, from its last byte to its application
	lastMatch time.Time     // when the dataset was last known to match the store, before the change
}

// fields returns the origin and the size of a change for a log line.
func (o changeOrigin) fields(bytes int) []event.Field {
	lastMatch := "never"
	if !o.lastMatch.IsZero() {
		lastMatch = time.Since(o.lastMatch).Round(time.Millisecond).String()
	}
	return []event.Field{
		event.F("source", o.source), event.F("bytes", strconv.Itoa(bytes)), event.F("last_match_ago", lastMatch),
		event.F("took", o.took.Round(time.Millisecond).String()), event.F("waited", o.waited.Round(time.Millisecond).String()),
	}
}
