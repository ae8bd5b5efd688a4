package event

// Events of membership and directory: 200 to 299.
const (
	MemberJoined     Number = 200
	MemberLost       Number = 201
	MemberLeaving    Number = 202
	Isolated         Number = 203
	Rejoined         Number = 204
	MemberReturned   Number = 205
	MemberRemoved    Number = 206
	MemberReady      Number = 208
	DrainTimedOut    Number = 207
	CapacityShort    Number = 209
	CapacityRestored Number = 210
)

var membershipEntries = []Entry{
	{MemberJoined, "member_joined", Info, "A daemon joined and is alive.", ""},
	{MemberLost, "member_lost", Warn, "A daemon is unreachable.", "Check the VM if it is still on the VM list."},
	{MemberLeaving, "member_leaving", Info, "A daemon announced a planned stop.", ""},
	{Isolated, "isolated", Error, "This daemon reaches neither the platform nor most peers and accepts no new requests.", "Repair the network of this VM or replace the VM."},
	{MemberReturned, "member_returned", Info, "A daemon that was unreachable answers again.", ""},
	{MemberRemoved, "member_ended", Info, "The VM of a daemon was removed from the VM list.", ""},
	{DrainTimedOut, "drain_cut", Error, "A planned stop reached its time limit and aborted running requests.", "Raise membership.drain_limit, or find the caller that hangs."},
	{MemberReady, "member_ready", Info, "This daemon has its first configuration and accepts requests.", ""},
	{CapacityShort, "capacity_short", Warn, "This daemon has less than an eighth of its capacity left; bound says of what. Directory answers leave it out, unless more than half of the daemons are short. It refuses nothing.", "If many daemons are short, add VMs; if a single one is, compare its VM with the others."},
	{CapacityRestored, "capacity_restored", Info, "This daemon has had a quarter of its capacity left for five seconds, and directory answers list it again.", ""},
	{Rejoined, "rejoined", Info, "This daemon is no longer isolated and accepts new requests.", ""},
}
