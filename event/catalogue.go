package event

import "sort"

// unknownEntry is returned for numbers that are not in the catalogue.
var unknownEntry = Entry{Name: "unknown", Severity: Error, Meaning: "An event without a catalogue entry.", Action: "Report a bug."}

// group is a number range for the events of one subsystem.
type group struct {
	title   string
	first   Number // lowest number reserved for the group
	entries []Entry
}

// groupSize is the number of event numbers reserved for each group.
const groupSize Number = 100

var groups = []group{
	{"Daemon", 100, nodeEntries},
	{"Membership and directory", 200, membershipEntries},
	{"Configuration", 300, configurationEntries},
	{"Generations", 400, generationEntries},
	{"Confirmations", 500, confirmationEntries},
	{"Admission", 600, admissionEntries},
	{"Forwarded requests", 700, forwardEntries},
	{"Orders to targets", 800, placementEntries},
	{"Platform and peers", 900, platformEntries},
	{"Roll-outs", 1000, rolloutEntries},
}

var catalogue = buildCatalogue()

func buildCatalogue() map[Number]Entry {
	m := make(map[Number]Entry)
	for _, g := range groups {
		for _, e := range g.entries {
			m[e.Number] = e
		}
	}
	return m
}

// Lookup returns the catalogue entry of n, or an entry named "unknown".
func Lookup(n Number) Entry {
	if e, ok := catalogue[n]; ok {
		return e
	}
	return unknownEntry
}

// Catalogue returns all entries, sorted by number.
func Catalogue() []Entry {
	out := make([]Entry, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}
