package event

// Events of the daemon itself: 100 to 199.
const (
	NodeStarted  Number = 100
	NodeDraining Number = 101
	NodeStopped  Number = 102
	NodeFailed   Number = 103
)

var nodeEntries = []Entry{
	{NodeStarted, "node_started", Info, "The daemon serves.", ""},
	{NodeDraining, "node_draining", Info, "A planned stop began; running work is finished.", ""},
	{NodeStopped, "node_stopped", Info, "The daemon stopped.", ""},
	{NodeFailed, "node_failed", Error, "The daemon can't go on.", "Read the error and the step; restart the VM."},
}
