package routing

import "github.com/vanillaroad/vanillaroad/configuration"

// Available drops targets that are leaving, dead, or lost by this request.
type Available struct{}

// Keep implements Filter.
func (Available) Keep(r *Request, c *Candidate) bool {
	return !c.Leaving && !c.Down && !r.Exclude[c.Target.Name]
}

// SameVersion drops targets that report another version of the model than the
// answer began with.
type SameVersion struct{}

// Keep implements Filter.
func (SameVersion) Keep(r *Request, c *Candidate) bool {
	return r.Version == "" || c.Version == "" || c.Version == r.Version
}

// SameSystem keeps the side of a migration that the request belongs to.
type SameSystem struct{}

// Keep implements Filter.
func (SameSystem) Keep(r *Request, c *Candidate) bool { return SideOf(&c.Target) == r.System }

// SideOf returns the side of a migration that a target belongs to.
func SideOf(t *configuration.Target) configuration.System {
	if t.System == "" {
		return configuration.NewSystem
	}
	return t.System
}
