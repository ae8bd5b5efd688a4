package event

// Events of generations: 400 to 499.
const (
	GenerationStarted    Number = 400
	AttemptStarted       Number = 401
	TargetLost           Number = 402
	GenerationResumed    Number = 403
	GenerationDone       Number = 404
	GenerationStopped    Number = 405
	AttemptAbandoned     Number = 406
	StaleTokenDropped    Number = 407
	GenerationJoined     Number = 408
	CallerLost           Number = 409
	RequestQuarantined   Number = 410
	TargetProbed         Number = 411
	GenerationContinued  Number = 412
	StreamAttached       Number = 413
	GenerationTakenOver  Number = 414
	RequestCrashReported Number = 415
	RequestOnTrial       Number = 416
	CrashReportsApplied  Number = 417
	CrashReportsCleared  Number = 418
	VerdictStored        Number = 419
	VerdictsLoaded       Number = 420
	PartsBlamed          Number = 421
	PartsCleared         Number = 422
)

var generationEntries = []Entry{
	{GenerationStarted, "generation_started", Debug, "A generation was accepted.", ""},
	{AttemptStarted, "attempt_started", Debug, "An attempt started on a target.", ""},
	{TargetLost, "target_lost", Warn, "A target stopped sending or closed a stream before the end of an answer.", "Check the target if it happens repeatedly."},
	{GenerationResumed, "generation_resumed", Info, "An answer was resumed after its target was lost; resume_ms is the delay seen by the caller.", ""},
	{GenerationDone, "generation_done", Debug, "An answer is complete.", ""},
	{GenerationStopped, "generation_stopped", Warn, "An answer ended incomplete, and the caller was notified.", "See the fields code, step and peer."},
	{AttemptAbandoned, "attempt_abandoned", Info, "An attempt was abandoned; it holds its permit until it is known to have ended.", ""},
	{StaleTokenDropped, "stale_token_dropped", Debug, "A token that arrived late, out of order or twice was dropped.", ""},
	{GenerationJoined, "generation_joined", Info, "A caller reconnected to a generation that this daemon runs.", ""},
	{CallerLost, "caller_lost", Info, "The stream of a caller ended before its answer was complete.", ""},
	{RequestQuarantined, "request_quarantined", Warn, "Too many targets crashed while they ran a request; it is not run again.", "Release it in the configuration once the cause is fixed."},
	{TargetProbed, "target_probed", Debug, "A silent target was probed on a new connection.", ""},
	{GenerationContinued, "generation_continued", Info, "This daemon continues a generation that ran at another daemon, after the tokens that the caller already has.", ""},
	{StreamAttached, "stream_attached", Info, "This daemon attached to a running stream of a target on a new connection; no work is repeated.", ""},
	{GenerationTakenOver, "generation_taken", Info, "Another daemon took over an answer; this daemon detached from its stream, which keeps running.", ""},
	{RequestCrashReported, "request_struck", Info, "A target crashed while it ran a request; the crash is counted for the request. refused says whether its content is refused from now on.", ""},
	{RequestOnTrial, "request_on_trial", Info, "A request may run although targets have crashed while they ran its content.", ""},
	{CrashReportsApplied, "crash_reports_applied", Info, "A peer reported crashes that this daemon did not know, or the store had them (member store), of a content that has more than one; fingerprint names the one with the most.", ""},
	{CrashReportsCleared, "crash_reports_cleared", Info, "A target answered a request, and the recorded crashes of its content were dropped.", ""},
	{VerdictStored, "verdict_stored", Info, "The crash reports of a refused content were written to the store, for daemons that start.", ""},
	{PartsBlamed, "parts_blamed", Warn, "Targets crashed under different requests that have these parts of their prompts in common; requests with all of them are refused.", "Find what the parts hold; see target."},
	{PartsCleared, "parts_cleared", Info, "A request with these parts of its prompt runs well, at this daemon or at member; crashes before are no evidence against them.", ""},
	{VerdictsLoaded, "verdicts_loaded", Info, "This daemon has read from the store which contents are refused, after its start.", ""},
}
