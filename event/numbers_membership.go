package event

// Events of membership and directory: 200 to 299.
const (
	MemberJoined  Number = 200
	MemberLost    Number = 201
	MemberLeaving Number = 202
	Isolated      Number = 203
	Rejoined      Number = 204
)

var membershipEntries = []Entry{
	{MemberJoined, "member_joined", Info, "A daemon was seen alive.", ""},
	{MemberLost, "member_lost", Warn, "A daemon is no longer reached.", "See the VM's state if it is still on the VM list."},
	{MemberLeaving, "member_leaving", Info, "A daemon announced a planned stop.", ""},
	{Isolated, "isolated", Error, "This daemon reaches neither platform nor most peers and takes no new work.", "Mend the network of this VM or replace it."},
	{Rejoined, "rejoined", Info, "This daemon takes new work again.", ""},
}
