package event

// Events of membership and directory: 200 to 299.
const (
	MemberJoined   Number = 200
	MemberLost     Number = 201
	MemberLeaving  Number = 202
	Isolated       Number = 203
	Rejoined       Number = 204
	MemberReturned Number = 205
	MemberRemoved  Number = 206
	MemberReady    Number = 208
	DrainTimedOut  Number = 207
)

var membershipEntries = []Entry{
	{MemberJoined, "member_joined", Info, "A daemon was seen alive.", ""},
	{MemberLost, "member_lost", Warn, "A daemon is no longer reached.", "See the VM's state if it is still on the VM list."},
	{MemberLeaving, "member_leaving", Info, "A daemon announced a planned stop.", ""},
	{Isolated, "isolated", Error, "This daemon reaches neither platform nor most peers and takes no new work.", "Mend the network of this VM or replace it."},
	{MemberReturned, "member_returned", Info, "A daemon that was not reached answers again.", ""},
	{MemberRemoved, "member_ended", Info, "A daemon's VM left the VM list.", ""},
	{DrainTimedOut, "drain_cut", Error, "A planned stop reached its limit and cut running work.", "Raise membership.drain_limit, or find the caller that hung."},
	{MemberReady, "member_ready", Info, "This daemon has its first configuration and takes work.", ""},
	{Rejoined, "rejoined", Info, "This daemon takes new work again.", ""},
}
