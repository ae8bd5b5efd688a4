package routing

import "github.com/vanillaroad/vanillaroad/configuration"

// Available drops targets that are leaving or down, or that the request excludes.
type Available struct{}

// Keep implements Filter.
func (Available) Keep(r *Request, c *Candidate) bool {
	return !c.Leaving && !c.Down && !r.Exclude[c.Target.Name]
}

// SameVersion drops targets that report another model version than the one with which
// the answer began.
type SameVersion struct{}

// Keep implements Filter.
func (SameVersion) Keep(r *Request, c *Candidate) bool {
	return r.Version == "" || c.Version == "" || c.Version == r.Version
}

// SameSystem keeps the targets of the system, old or new, to which the migration
// assigned the request.
type SameSystem struct{}

// Keep implements Filter.
func (SameSystem) Keep(r *Request, c *Candidate) bool { return SystemOf(&c.Target) == r.System }

// SystemOf returns the system, old or new, to which a target belongs in a migration. The
// default is the new one.
func SystemOf(t *configuration.Target) configuration.System {
	if t.System == "" {
		return configuration.NewSystem
	}
	return t.System
}
