package event

// Events of platform and peers: 900 to 999.
const (
	PlatformLost      Number = 900
	PlatformRecovered Number = 901
	PeerLost          Number = 902
	ChangesSent       Number = 903
	ChangesRepeated   Number = 904
	ChangesLeft       Number = 905
	StoreRestored     Number = 906
	EraInvalid        Number = 907
	EntryWrittenAgain Number = 908
	OriginsWritten    Number = 909
	OriginsRead       Number = 910
	CoverageWritten   Number = 911
)

var platformEntries = []Entry{
	{PlatformLost, "platform_lost", Warn, "The store of the platform does not answer; serving continues.", "Check the platform."},
	{PlatformRecovered, "platform_back", Info, "The store of the platform answers again.", ""},
	{PeerLost, "peer_lost", Info, "A connection to another daemon timed out or broke.", ""},
	{ChangesSent, "changes_sent", Info, "This daemon read changes from the store and sends them to its peers; bytes is the size of the values before compression.", ""},
	{ChangesRepeated, "changes_repeated", Info, "Entries arrived again that this daemon already had, as many as the fields say since its last such line; bytes is the size of the values before compression.", "Many bytes: look for several daemons with changes_sent for the same revision."},
	{ChangesLeft, "changes_left", Info, "This daemon read changes from the store, but left it to another reader to send the values.", ""},
	{StoreRestored, "store_restored", Warn, "The store was restored from an older copy: kind now has the entries of a newer era. changed and removed are the entries that differ from what this daemon had.", "Ask the platform's operators what was lost; this daemon keeps its configuration and writes its own entries again."},
	{EraInvalid, "store_era_invalid", Warn, "An answer of the store does not state its era, states no number, or states an era below the latest. The last is that of an answer from before a restoration.", "Check the platform if it persists."},
	{EntryWrittenAgain, "entry_written_again", Info, "This daemon's entry was missing from the store and was written again.", ""},
	{OriginsWritten, "origins_written", Info, "This daemon wrote to the store at which software versions streams of a service may have begun; era is that of the store.", ""},
	{CoverageWritten, "coverage_written", Info, "This daemon wrote to the store that in era no software version is missing at which streams may have begun; with complete=false it only noted the era, and streams that no daemon knows don't go on at an assumed version for ten minutes.", ""},
	{OriginsRead, "origins_read", Info, "This daemon read from the store, for a stream that no daemon knows, which software versions may have begun streams of a service, or the origins of single streams; era is that of the store.", ""},
}
