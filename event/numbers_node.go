package event

// Events of the daemon itself: 100 to 199.
const (
	NodeStarted  Number = 100
	NodeDraining Number = 101
	NodeStopped  Number = 102
	NodeFailed   Number = 103

	SettingsReloaded Number = 104
	SettingsRefused  Number = 105
	SettingsUnknown  Number = 106

	DaemonStalled Number = 107
)

var nodeEntries = []Entry{
	{NodeStarted, "node_started", Info, "The daemon started and serves requests.", ""},
	{NodeDraining, "node_draining", Info, "A planned stop began; running requests are completed first.", ""},
	{NodeStopped, "node_stopped", Info, "The daemon stopped.", ""},
	{NodeFailed, "node_failed", Error, "The daemon failed and cannot continue.", "Read the fields error and step; restart the VM."},
	{SettingsReloaded, "settings_reloaded", Info, "The settings file was reloaded.", ""},
	{SettingsRefused, "settings_refused", Error, "The settings file is invalid; the previous settings stay active.", "Fix the errors listed in the field error."},
	{SettingsUnknown, "settings_unknown", Warn, "The settings file has keys that this build doesn't know; they are ignored.", "If no other build is in use, correct the keys listed in the field keys."},
	{DaemonStalled, "daemon_stalled", Warn, "The daemon did not run for as long as late says; gc_cycles and gc_ms are those of the garbage collector since the last such line.", "Compare gc_ms with late: a VM without enough memory collects garbage all the time. If it is small, the VM has too little processor time or was paused."},
}
