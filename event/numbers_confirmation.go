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
	{ConfirmationNotRun, "confirmation_not_run", Info, "A confirmation was refused; no target saw it and none will.", ""},
	{ConfirmationUnknown, "confirmation_unknown", Warn, "Nobody can tell whether a confirmation ran.", "Look it up at the booking service by its key."},
	{ShardSealed, "shard_sealed", Warn, "This daemon goes on with shards without the other daemon of their pairs.", ""},
	{ShardMoved, "shard_moved", Info, "Shards of this daemon have new pairs; unsure ones answer unknown for older keys without a record.", ""},
}
