package event

// Events of confirmations: 500 to 599.
const (
	ConfirmationDispatched Number = 500
	ConfirmationRan        Number = 501
	ConfirmationNotRun     Number = 502
	ConfirmationUnknown    Number = 503
	ShardSealed            Number = 504
	ShardMoved             Number = 505
)

var confirmationEntries = []Entry{
	{ConfirmationDispatched, "confirmation_dispatched", Debug, "A confirmation was sent to a target.", ""},
	{ConfirmationRan, "confirmation_ran", Debug, "A confirmation ran.", ""},
	{ConfirmationNotRun, "confirmation_not_run", Info, "A confirmation was refused; no target has received it and none will.", ""},
	{ConfirmationUnknown, "confirmation_unknown", Warn, "It is unknown whether a confirmation ran.", "Look it up at the booking service by its key."},
	{ShardSealed, "shard_sealed", Warn, "This daemon continues to serve shards without the other daemon of their pairs.", ""},
	{ShardMoved, "shard_moved", Info, "Shards of this daemon were assigned to new pairs of daemons. A shard whose records may be incomplete answers unknown for older keys without a record.", ""},
}
