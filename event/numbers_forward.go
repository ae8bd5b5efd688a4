package event

// Events of forwarded requests: 700 to 799.
const (
	RequestAnswered  Number = 700
	RequestFailed    Number = 701
	AttemptLost      Number = 702
	AnswerResumed    Number = 703
	AnswerTruncated  Number = 704
	TargetSuspected  Number = 705
	EntryRefused     Number = 706
	TargetJoined     Number = 707
	TargetLeaving    Number = 708
	TargetRemoved    Number = 709
	LogLinesLost     Number = 710
	CopyFailed       Number = 711
	TargetTerminated Number = 712
)

var forwardEntries = []Entry{
	{RequestAnswered, "request_answered", Info, "A request has its whole answer.", ""},
	{RequestFailed, "request_failed", Warn, "A request ended without a target's answer; outcome tells whether it ran.", "See docs/OPERATIONS.md."},
	{AttemptLost, "attempt_lost", Warn, "An attempt at a target brought no whole answer.", "Look for target_suspected of the same target."},
	{AnswerResumed, "answer_resumed", Info, "A streamed answer goes on at another target.", ""},
	{AnswerTruncated, "answer_cut_short", Warn, "A streamed answer was broken off before its end.", "Read the attempts that were lost before."},
	{TargetSuspected, "target_suspected", Warn, "A target did not answer a probe and gets no new work for a while.", "See the target if it lasts."},
	{TargetTerminated, "target_ended", Warn, "A target's process has ended: nobody listens at its address, or another one does.", "See the target if its entry stays."},
	{EntryRefused, "entry_refused", Warn, "An entry that can't be read was left out; what was in force before stays.", "See who wrote it."},
	{TargetJoined, "target_joined", Info, "A target registered, or started anew.", ""},
	{TargetLeaving, "target_leaving", Info, "A target leaves and gets no new work.", ""},
	{TargetRemoved, "target_gone", Info, "A target's entry is gone.", ""},
	{CopyFailed, "copy_failed", Info, "The memory of a run could not be copied to another target.", ""},
	{LogLinesLost, "log_lines_lost", Warn, "Log lines were left out because the log's reader is slow.", "See the reader of the log."},
}
