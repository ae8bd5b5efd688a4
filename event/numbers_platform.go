package event

// Events of platform and peers: 900 to 999.
const (
	PlatformLost      Number = 900
	PlatformRecovered Number = 901
	PeerLost          Number = 902
)

var platformEntries = []Entry{
	{PlatformLost, "platform_lost", Warn, "The store of the platform does not answer; serving continues.", "Check the platform."},
	{PlatformRecovered, "platform_back", Info, "The store of the platform answers again.", ""},
	{PeerLost, "peer_lost", Info, "A connection to another daemon timed out or broke.", ""},
}
