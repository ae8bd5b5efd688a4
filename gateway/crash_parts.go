package gateway

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// runsTrials reports whether this daemon runs the trials of a blame.
func (m *members) runsTrials(b quarantine.Blame) bool {
	ids := []string{m.self.ID}
	for _, other := range m.others() {
		ids = append(ids, other.ID)
	}
	return trialDaemon(b, ids) == m.self.ID
}

// trialDaemon returns the one of all registered daemons that runs the trials of a blame. It
// is another one after each round.
func trialDaemon(b quarantine.Blame, ids []string) string {
	rank := func(id string) uint64 { return xxhash.Sum64String(b.Name() + "/" + strconv.Itoa(b.Rounds) + "/" + id) }
	return slices.MaxFunc(ids, func(x, y string) int { return cmp.Compare(rank(x), rank(y)) })
}

// soundParts holds parts of prompts with which requests ran well, and the time since the
// latest of them.
type soundParts map[string]time.Duration

// reportSound records that a request runs well, so that the parts of its prompt don't crash
// targets. The other daemons get a report if that clears a part of crashes.
func (c *crashTracker) reportSound(r *forward.Request) {
	if len(r.Prompt.Parts) == 0 {
		return
	}
	now := make(soundParts)
	for _, p := range r.Prompt.Parts {
		now[p] = 0
	}
	if cleared := c.applySound("", now); len(cleared) > 0 {
		c.sendSound(cleared)
	}
}

// applySound records with which parts requests ran well, as reported by another daemon or,
// if member is empty, by this one. It returns those that this clears of crashes.
func (c *crashTracker) applySound(member string, parts soundParts) soundParts {
	now, cleared := time.Now(), make(soundParts)
	c.mu.Lock()
	for p, age := range parts {
		for _, isCleared := range c.parts.ReportSound(now.Add(-age), []string{p}) {
			cleared[isCleared] = age
		}
	}
	c.mu.Unlock()
	if len(cleared) > 0 {
		names := slices.Sorted(maps.Keys(cleared))
		c.events.Record(event.PartsCleared, "", event.F("parts", strings.Join(names, ",")), event.F("member", member))
		c.handleBlame()
	}
	return cleared
}

// soundSuspects returns with which parts that were present at crashes requests ran well, for
// a daemon that may not know it.
func (c *crashTracker) soundSuspects() soundParts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.SoundSuspects(time.Now())
}

// announceInterval is the minimum time between two announcements of sound runs with one
// part. It is shorter than the time for which they count.
const announceInterval = 30 * time.Second

// announceSound reports to the other daemons with which parts of crash reports requests ran well
// here before, because parts without a sound run are blamed first.
func (c *crashTracker) announceSound(reports ...quarantine.CrashReport) {
	now, sound := time.Now(), make(soundParts)
	c.mu.Lock()
	maps.DeleteFunc(c.announced, func(_ string, at time.Time) bool { return now.Sub(at) >= announceInterval })
	for _, report := range reports {
		for p, age := range c.parts.SoundAges(now, report.Parts) {
			if _, done := c.announced[p]; !done && report.AtStart {
				sound[p], c.announced[p] = age, now
			}
		}
	}
	c.mu.Unlock()
	if len(sound) > 0 {
		c.sendSound(sound)
	}
}

// handleBlame logs and stores blames that are new or have more crashes.
func (c *crashTracker) handleBlame() {
	c.mu.Lock()
	blames := c.parts.Blamed(time.Now())
	crashes := make(map[string]int)
	var changed []quarantine.Blame
	for _, b := range blames {
		crashes[b.Name()] = b.Crashes
		if c.blamed[b.Name()] != b.Crashes {
			changed = append(changed, b)
		}
	}
	c.blamed = crashes
	c.mu.Unlock()
	for _, b := range changed {
		c.events.Record(event.PartsBlamed, "", event.F("parts", strings.Join(b.Parts, ",")), event.F("crashes", strconv.Itoa(b.Crashes)),
			event.F("contents", strconv.Itoa(b.Contents)), event.F("target", b.Target))
		if b.Own {
			c.saveParts(b)
		}
	}
}

// evidence returns the reports on the crashes for which parts are blamed.
func (c *crashTracker) evidence(b quarantine.Blame) []quarantine.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.Evidence(time.Now(), b)
}
