package event

// Events of platform and peers: 900 to 999.
const (
	PlatformLost      Number = 900
	PlatformRecovered Number = 901
	PeerLost          Number = 902
)

var platformEntries = []Entry{
	{PlatformLost, "platform_lost", Warn, "The platform's store does not answer; serving goes on.", "See the platform."},
	{PlatformRecovered, "platform_back", Info, "The platform's store answers again.", ""},
	{PeerLost, "peer_lost", Info, "A connection to another daemon fell silent or broke.", ""},
}
