package event

import (
	"fmt"
	"strings"
)

//go:generate go run ../internal/eventpage ../docs/EVENTS.md

// String returns the name of the log level.
func (s Severity) String() string {
	switch s {
	case Debug:
		return "debug"
	case Info:
		return "info"
	case Warn:
		return "warn"
	default:
		return "error"
	}
}

// Document returns the catalogue as Markdown, the content of docs/EVENTS.md.
func Document() string {
	var b strings.Builder
	b.WriteString("# Events\n\nGenerated from package `event` by `go generate ./event`; do not edit.\n\n" +
		"Each daemon logs its events as JSON and keeps the newest in memory for the\n" +
		"timeline (`vanillaroad timeline`). Numbers are stable. The action column is\n" +
		"empty where an operator need not act.\n")
	for _, g := range groups {
		_, _ = fmt.Fprintf(&b, "\n## %s: %d to %d\n\n| number | name | level | meaning | action |\n|---|---|---|---|---|\n", g.title, g.first, g.first+groupSize-1)
		for _, e := range g.entries {
			_, _ = fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Severity, e.Meaning, e.Action)
		}
	}
	return b.String()
}
