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
)

var generationEntries = []Entry{
	{GenerationStarted, "generation_started", Debug, "A generation was accepted.", ""},
	{AttemptStarted, "attempt_started", Debug, "An attempt runs on a target.", ""},
	{TargetLost, "target_lost", Warn, "A target fell silent or closed a stream in the middle of an answer.", "See the target if it repeats."},
	{GenerationResumed, "generation_resumed", Info, "An answer goes on after a loss; resume_ms is the caller's wait.", ""},
	{GenerationDone, "generation_done", Debug, "An answer is whole.", ""},
	{GenerationStopped, "generation_stopped", Warn, "An answer ended incomplete, and the caller was told so.", "See code, step and peer."},
	{AttemptAbandoned, "attempt_abandoned", Info, "An attempt was left; it keeps its permit until its end is known.", ""},
	{StaleTokenDropped, "stale_token_dropped", Debug, "A late, crossed or repeated token was dropped.", ""},
	{GenerationJoined, "generation_joined", Info, "A caller came back to a generation that this daemon holds.", ""},
	{CallerLost, "caller_lost", Info, "A caller's stream ended before its answer.", ""},
	{RequestQuarantined, "request_quarantined", Warn, "A request lost too many targets and is not run again.", "Release it in the configuration once mended."},
	{TargetProbed, "target_probed", Debug, "A silent target was probed on a new connection.", ""},
	{GenerationContinued, "generation_continued", Info, "A caller from another daemon goes on here from what it holds.", ""},
	{StreamAttached, "stream_attached", Info, "A running stream of a target is read on a new connection; no work is repeated.", ""},
	{GenerationTakenOver, "generation_taken", Info, "Another daemon goes on with an answer; its stream is left running here.", ""},
	{RequestCrashReported, "request_struck", Info, "A target failed under a request; it is counted against the request.", ""},
}
