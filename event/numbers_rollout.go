package event

// Events of roll-outs: 1000 to 1099.
const (
	RolloutStarted Number = 1000
	RolloutPhase   Number = 1001
	RolloutJudged  Number = 1002
	RolloutEnded   Number = 1003
	RolloutInvalid Number = 1004
)

var rolloutEntries = []Entry{
	{RolloutStarted, "rollout_started", Info, "This daemon follows an order to roll out a version of a service; age is the time since the order. With the duration unknown, targets of the version were seen before an order for it, and the version gets its share only.", ""},
	{RolloutPhase, "rollout_phase", Info, "A roll-out reached another phase; requests and sent are this daemon's requests to the service and those of them that the version got.", "overdue: the store has no final state though the time limit is over; check the store."},
	{RolloutJudged, "rollout_judged", Info, "The verdict on a version under roll-out changed; reason has the evidence, member is the daemon that judged.", "bad: the version gets no more requests; look at the route and the kind of failure in reason."},
	{RolloutEnded, "rollout_ended", Info, "A roll-out ended: state is the final state in the store, or deleted or replaced if the order was before its end. A replaced target gets no more requests.", "rolled_back: read the preceding rollout_judged events."},
	{RolloutInvalid, "rollout_invalid", Warn, "An order to roll out a version is not followed; error says what is wrong with it.", "Correct the order."},
}
