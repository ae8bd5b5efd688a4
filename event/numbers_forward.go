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
	CallerLeft       Number = 713
	IdleClosed       Number = 714
	AttemptKept      Number = 715
	OriginAssumed    Number = 716
	RequestReturned  Number = 717
	ConditionsStated Number = 718
	LinksLost        Number = 719
	LinksRestored    Number = 720
	PauseRequested   Number = 721
	RunStopped       Number = 722

	RequestUnfinished Number = 723
	StreamPaused      Number = 730

	LoadStated     Number = 740
	CallersLimited Number = 741
)

var forwardEntries = []Entry{
	{RequestAnswered, "request_answered", Info, "A request was answered completely; framed says whether the end of the target's answer is certain, by a length or chunks.", ""},
	{RequestFailed, "request_failed", Warn, "A request failed without an answer from a target; the field outcome says whether it ran.", "See docs/OPERATIONS.md."},
	{AttemptLost, "attempt_lost", Warn, "An attempt at a target ended without a complete answer; framed is as in request_answered, load the target's load as this daemon knew it; reserved says whether the target had reserved room.", "Look for target_suspected events of the same target."},
	{AnswerResumed, "answer_resumed", Info, "A streamed answer continues at another target.", ""},
	{AnswerTruncated, "answer_cut_short", Warn, "A streamed answer was truncated; no_attempt says why it was not continued, silent_for the time since its last event, last_attempt the last target, its state, what the stream was sent there by, whether it has begun there, and whether the target has answered a probe since.", "Read the preceding attempt_lost events of the request."},
	{TargetSuspected, "target_suspected", Warn, "A target did not answer a probe and temporarily gets no new requests; accepts says whether it accepted a connection meanwhile.", "Check the target if it persists."},
	{TargetTerminated, "target_ended", Warn, "The process of a target has terminated: its address refuses connections or is used by another process. member is the daemon that found it, if not this one.", "Check the target if its entry remains."},
	{EntryRefused, "entry_refused", Warn, "An invalid entry of a target or daemon was ignored; its previous entry stays active.", "Find out what wrote the entry."},
	{TargetJoined, "target_joined", Info, "A target registered or restarted.", ""},
	{TargetLeaving, "target_leaving", Info, "A target is leaving and gets no new requests.", ""},
	{TargetRemoved, "target_gone", Info, "The entry of a target was removed.", ""},
	{CopyFailed, "copy_failed", Info, "The KV cache of a running request could not be copied to another target.", ""},
	{StreamPaused, "stream_paused", Info, "A stream got its first event, or the next one, later than its route allows, once for each cause: prefill, no_copy (a run that continued without a copy; why says why it had none), copy (one that resumed from a copy), silent_target, retry_credit, no_target (none was ready or had room) or slow_caller; length is the time without an event, of which the cause had the largest part.", ""},
	{AttemptKept, "attempt_kept", Warn, "A stream is silent, and its attempt goes on because no other target can take it; no_attempt says why, once for each reason.", "Look for target_suspected events of the same target."},
	{RunStopped, "run_stopped", Info, "A target still worked on a request that had been taken from it, and was made to stop; after is the time since then.", ""},
	{OriginAssumed, "origin_assumed", Info, "No daemon knows the stream that a caller takes up; it continues at the only software version that may have begun it.", ""},
	{RequestReturned, "request_returned", Info, "A request returns to a target that it was taken from for silence, because no other target can get it.", ""},
	{ConditionsStated, "target_conditions", Info, "A target states other conditions in its answers than before: limit is the number of requests a second that it takes from all daemons together, or none; a brittle one fails if it has to refuse many; a leaving one gets no new requests until it starts again.", "A limit that persists: the target needs relief."},
	{PauseRequested, "target_pause", Info, "A target refused a request and wants no other one from this daemon for the time in the field for.", "A pause that persists: the target needs relief."},
	{LoadStated, "load_stated", Info, "The targets of a service began to state their load in their answers; calls are distributed by it. target is the first one.", ""},
	{LinksLost, "links_lost", Warn, "This daemon reaches no target directly and connects through other daemons; target is the last one that failed.", "Check the network between this VM and the targets."},
	{LinksRestored, "links_restored", Info, "Targets answer on direct connections again.", ""},
	{CallerLeft, "caller_left", Info, "The connection of a request ended before its answer began.", ""},
	{IdleClosed, "idle_connections_closed", Info, "Connections of callers were closed that had been idle for longer than the configuration allows.", ""},
	{CallersLimited, "callers_limited", Warn, "Callers were refused for want of memory, or their connections closed: others needed their memory, their header was far over the limit or not complete in time, or there were too many; bytes is what requests, answers and connections hold, and caller the host with most of the connections that were closed or whose body was refused, with their number and what was read of their requests.", "See the section on a crowd of callers in docs/OPERATIONS.md."},
	{RequestUnfinished, "request_unfinished", Warn, "The daemon ended before the answer of a request did, or its handler failed, see error; the caller's connection was closed.", "Without error: compare after with the grace period, the daemon may have had too little processor time. With error: report a bug, with the stack on standard error."},
	{LogLinesLost, "log_lines_lost", Warn, "Log lines were dropped because the log reader is slow.", "Check the process that reads the log."},
}
