package membership

import "time"

// Input is one thing a Machine is told.
type Input interface{ membershipInput() }

// Tick tells that time passed. It comes once a ProbePeriod.
type Tick struct{}

// Heard is a message of another daemon: a probe or the reply to one.
type Heard struct{ Message Message }

// Probed is the end of a probe of ID. Via names the daemon that was asked to
// probe it, if any, and Asked tells whether that daemon answered.
type Probed struct {
	ID    string
	Via   string
	Asked bool
	OK    bool
}

// Synced is the table that another daemon sent.
type Synced struct{ Rumors []Rumor }

// VMs is news of the VM list, read here or told by a reader of it.
type VMs struct {
	// Full tells that Listed and Leaving are the whole list, not changes.
	Full    bool
	Changes []VMChange
}

// PlatformSeen tells that the platform answered this daemon, or answered a
// reader Age before now.
type PlatformSeen struct{ Age time.Duration }

// Leave announces a planned stop of this daemon.
type Leave struct{}

// InForce tells which configuration version is in force here.
type InForce struct{ Version int64 }

func (Tick) membershipInput()         {}
func (Heard) membershipInput()        {}
func (Probed) membershipInput()       {}
func (Synced) membershipInput()       {}
func (VMs) membershipInput()          {}
func (PlatformSeen) membershipInput() {}
func (Leave) membershipInput()        {}
func (InForce) membershipInput()      {}

// Decision is one thing a Machine wants done.
type Decision interface{ membershipDecision() }

// Probe asks to send Message to a member and to report Probed and Heard.
type Probe struct {
	ID      string
	Address string
	Message Message
}

// ProbeVia asks to have a member probed by another one.
type ProbeVia struct {
	Via        string
	ViaAddress string
	ID         string
	Address    string
}

// Reply answers the Heard input that it was decided on.
type Reply struct{ Message Message }

// Sync asks to fetch the table of a member and to report Synced.
type Sync struct {
	ID      string
	Address string
}

// AskPlatform asks to read from the platform at once and to report
// PlatformSeen if it answers.
type AskPlatform struct{}

// Changed tells what happened to a member; it goes to the time line.
type Changed struct {
	ID   string
	What Change
}

// Change is a kind of change of a member.
type Change string

// Changes.
const (
	Ready          Change = "ready" // this daemon itself; tell everyone
	Joined         Change = "joined"
	Suspected      Change = "suspected"
	Returned       Change = "returned"
	LeaveAnnounced Change = "leaving"
	Ended          Change = "ended"
	Isolated       Change = "isolated"
	Rejoined       Change = "rejoined"
)

func (Probe) membershipDecision()       {}
func (ProbeVia) membershipDecision()    {}
func (Reply) membershipDecision()       {}
func (Sync) membershipDecision()        {}
func (AskPlatform) membershipDecision() {}
func (Changed) membershipDecision()     {}
