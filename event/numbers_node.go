package event

// Events of the daemon itself: 100 to 199.
const (
	NodeStarted  Number = 100
	NodeDraining Number = 101
	NodeStopped  Number = 102
	NodeFailed   Number = 103

	SettingsReloaded Number = 104
	SettingsRefused  Number = 105
)

var nodeEntries = []Entry{
	{NodeStarted, "node_started", Info, "The daemon serves.", ""},
	{NodeDraining, "node_draining", Info, "A planned stop began; running work is finished.", ""},
	{NodeStopped, "node_stopped", Info, "The daemon stopped.", ""},
	{NodeFailed, "node_failed", Error, "The daemon can't go on.", "Read the error and the step; restart the VM."},
	{SettingsReloaded, "settings_reloaded", Info, "The settings file was read again.", ""},
	{SettingsRefused, "settings_refused", Error, "The settings file has faults; the settings in force stay.", "Mend the faults that the error names."},
}
