package event

// unknownEntry describes numbers that are missing from the catalogue.
var unknownEntry = Entry{Name: "unknown", Severity: Error, Meaning: "An event without a catalogue entry.", Action: "Report a bug."}

var catalogue = build(nodeEntries, membershipEntries, configurationEntries, generationEntries,
	confirmationEntries, admissionEntries, placementEntries, platformEntries)

func build(groups ...[]Entry) map[Number]Entry {
	m := make(map[Number]Entry)
	for _, g := range groups {
		for _, e := range g {
			m[e.Number] = e
		}
	}
	return m
}

// Lookup returns the catalogue entry of n.
func Lookup(n Number) Entry {
	if e, ok := catalogue[n]; ok {
		return e
	}
	return unknownEntry
}

// Catalogue returns all entries, unordered.
func Catalogue() []Entry {
	out := make([]Entry, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	return out
}
