package membership

import "time"

// Input is an event that a Machine handles.
type Input interface{ membershipInput() }

// Tick is the timer event that arrives once per ProbePeriod.
type Tick struct{}

// Heard reports a message from another daemon: a probe or a probe reply.
type Heard struct{ Message Message }

// Probed is the result of a probe of member ID. OK reports whether that member
// answered. For an indirect probe, Via is the daemon that was requested to send it,
// and Asked reports whether Via answered this request.
type Probed struct {
	ID    string
	Via   string
	Asked bool
	OK    bool
}

// Synced holds rumors received from another daemon in a sync or a broadcast.
type Synced struct{ Rumors []Rumor }

// VMs is an update of the VM list, read from the platform by this daemon or
// received from a daemon that reads it.
type VMs struct {
	// Full reports whether Changes is the complete list rather than the changes
	// since the previous update.
	Full    bool
	Changes []VMChange
}

// PlatformSeen reports that the platform answered Age ago. It answered this daemon,
// or the daemon from which this daemon gets the VM list.
type PlatformSeen struct{ Age time.Duration }

// Leave announces a planned stop of this daemon.
type Leave struct{}

// InForce reports the configuration version that is active on this daemon.
type InForce struct{ Version int64 }

func (Tick) membershipInput()         {}
func (Heard) membershipInput()        {}
func (Probed) membershipInput()       {}
func (Synced) membershipInput()       {}
func (VMs) membershipInput()          {}
func (PlatformSeen) membershipInput() {}
func (Leave) membershipInput()        {}
func (InForce) membershipInput()      {}

// Decision is an action that a Machine requests.
type Decision interface{ membershipDecision() }

// Probe requests sending Message to a member. The result is reported as Probed,
// and a reply also as Heard.
type Probe struct {
	ID      string
	Address string
	Message Message
}

// ProbeVia requests an indirect probe: member Via probes member ID. The result
// is reported as Probed.
type ProbeVia struct {
	Via        string
	ViaAddress string
	ID         string
	Address    string
}

// Reply requests sending Message as the answer to the message in the Heard input.
type Reply struct{ Message Message }

// Sync requests fetching the differing part of a member's rumor table. The result
// is reported as Synced.
type Sync struct {
	ID      string
	Address string
}

// AskPlatform requests an immediate read from the platform. An answer is reported
// as PlatformSeen.
type AskPlatform struct{}

// Changed reports a state change of a member for the event log.
type Changed struct {
	ID   string
	What Change
}

// Change is the kind of a member's state change.
type Change string

// Member state changes.
const (
	Ready          Change = "ready" // this daemon has its first configuration; notify all members
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
