package event

// Events of configuration: 300 to 399.
const (
	ConfigurationActivated Number = 300
	ConfigurationAccepted  Number = 301
	ConfigurationRefused   Number = 302
	ConfigurationConflict  Number = 303
)

var configurationEntries = []Entry{
	{ConfigurationActivated, "configuration_in_force", Info, "A configuration version became active on this daemon.", ""},
	{ConfigurationAccepted, "configuration_accepted", Info, "The platform accepted a configuration written through this daemon.", ""},
	{ConfigurationRefused, "configuration_refused", Warn, "A configuration was invalid or could not be written.", "Fix the reported errors and apply again."},
	{ConfigurationConflict, "configuration_conflict", Warn, "A configuration was not written because another one was accepted first.", "Read the accepted version and apply the change to it."},
}
