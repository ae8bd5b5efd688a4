package event

// Events of admission: 600 to 699.
const (
	RequestRefused Number = 600
	QueueFull      Number = 601
	RetryDenied    Number = 602
	TargetDown     Number = 603
	TargetUp       Number = 604
)

var admissionEntries = []Entry{
	{RequestRefused, "request_refused", Info, "A request was refused; the answer says when to retry.", "Add targets or raise limits if it persists."},
	{QueueFull, "queue_full", Warn, "The queue of a workspace is full.", "Raise the workspace's limit or add targets."},
	{RetryDenied, "retry_denied", Warn, "A retry was delayed or denied because the retry budget is exhausted; needed is the number of retries that it was to pay for, credits what the daemon had of its own and borrowed what other daemons had lent it, begun whether it is a stream that has begun.", "Look for a failing place or service."},
	{TargetDown, "target_down", Warn, "A target does not answer and gets no new requests.", "Check the target if it persists."},
	{TargetUp, "target_up", Info, "A target answers again.", ""},
}
