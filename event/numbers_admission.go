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
	{RequestRefused, "request_refused", Info, "A request was refused with a time to come back.", "Add targets or raise limits if it lasts."},
	{QueueFull, "queue_full", Warn, "A workspace's queue is full.", "Raise the workspace's limit or add targets."},
	{RetryDenied, "retry_denied", Warn, "The retry budget is spent.", "Look for a failing place or service."},
	{TargetDown, "target_down", Warn, "A target does not answer and gets no new work.", "See the target if it lasts."},
	{TargetUp, "target_up", Info, "A target answers again.", ""},
}
