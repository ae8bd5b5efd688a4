package overload

import "time"

// prefillTokensPerMilli is the prefill rate of an idle target; see fleet, which corrects it for
// each target by Target.Slowdown.
const prefillTokensPerMilli = 5.0

// maxPrefillBacklog is the backlog of prompts from which a target has no room for more. A stream
// that waits there for the prompts of others waits behind less urgent ones, too.
const maxPrefillBacklog = 1600 * time.Millisecond

// assumedSlots is the room of a target that states no number of slots.
const assumedSlots = 8

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMilli * float64(time.Millisecond))
}

// Target is the load of all daemons on a usable target.
type Target struct {
	Slots         int // 0 if not known
	Running       int // requests, those in its queue included
	PrefillTokens int // of requests without an event
	MemoryTokens  int
	Slowdown      float64 // of its prefill; at least 1
}

// Load is what a daemon knows of a service at one time.
type Load struct {
	// Slots is the number of slots of the usable targets, and FreeSlots how many run nothing,
	// also if there is no memory to use them.
	Slots, FreeSlots int
	// Room is how many requests of the usual size fit into the usable targets now, and Queued
	// how many are at targets that have no room for them. Running is how many run.
	Room, Queued, Running float64
	// Fits reports whether a usable target has room for the request itself.
	Fits bool
	// PrefillWait is the shortest backlog of prompts at a usable target, and PrefillRate how
	// many tokens all of them prefill per second.
	PrefillWait time.Duration
	PrefillRate float64
	// PeersHeld is how many requests of each level the other daemons hold.
	PeersHeld [Levels]int
	Daemons   int           // that serve, this one included
	Age       time.Duration // of the knowledge about other daemons
}

// Summarize returns the load of usable targets for a request. capacity is the memory of a target
// in tokens; 0 if not known. PeersHeld, Daemons and Age are left to the caller.
func (c *Controller) Summarize(targets []Target, r Request, capacity int) Load {
	var l Load
	usualMemory, usualPrompt := c.memory.mean, c.prompts.mean
	if usualMemory <= 0 {
		usualMemory, usualPrompt = float64(r.Memory), float64(r.Prompt)
	}
	for i, t := range targets {
		backlog := time.Duration(float64(prefillTime(t.PrefillTokens)) * t.Slowdown)
		if i == 0 || backlog < l.PrefillWait {
			l.PrefillWait = backlog
		}
		l.PrefillRate += prefillTokensPerMilli / t.Slowdown * 1000
		l.Slots += t.Slots
		room := t.room(usualMemory, capacity)
		l.FreeSlots += max(0, t.Slots-t.runs(capacity))
		l.Running += float64(t.Running) + min(0, room)
		l.Queued -= min(0, room)
		if backlog >= maxPrefillBacklog {
			continue
		}
		if usual := time.Duration(float64(prefillTime(int(usualPrompt))) * t.Slowdown); usual > 0 {
			room = min(room, float64((maxPrefillBacklog-backlog+usual-1)/usual))
		}
		l.Room += max(0, room)
		l.Fits = l.Fits || room > 0 && t.room(float64(r.Memory), capacity) >= 1
	}
	return l
}

// runs returns how many of the requests at the target run: those that fit into its memory, by their
// mean size.
func (t *Target) runs(capacity int) int {
	if capacity <= 0 || t.MemoryTokens <= capacity {
		return t.Running
	}
	return int(float64(t.Running) * float64(capacity) / float64(t.MemoryTokens))
}

// room returns how many requests with so many tokens fit into slots and memory, as a whole
// number; negative if some of those that are there don't.
func (t *Target) room(memory float64, capacity int) float64 {
	room := float64(t.Slots - t.Running)
	if t.Slots == 0 {
		room = assumedSlots
	}
	if capacity > 0 && memory > 0 {
		free := float64(capacity-t.MemoryTokens) / memory
		if free > 0 {
			free = float64(int(free))
		}
		room = min(room, free)
	}
	return max(room, -float64(t.Running))
}
