package gateway

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// settingsCheck is how often the settings file is looked at: it may change without
// a signal.
const settingsCheck = time.Second

// WatchSettings reloads the settings file when it changes, and whenever reload
// brings a signal, until ctx ends.
func (g *Gateway) WatchSettings(ctx context.Context, path string, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	seen := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
			now := modified(path)
			if now.Equal(seen) {
				continue
			}
			seen = now
		}
		g.reload(path)
	}
}

// modified returns when a file was last changed; zero if that can't be told, which
// counts as no change.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload puts the settings file in force, or keeps the settings there are if it has
// faults. Addresses and the daemon's name take effect at the next start only.
func (g *Gateway) reload(path string) {
	s, err := LoadSettings(path)
	if err != nil {
		g.events.Record(event.SettingsRefused, "", event.F("error", err.Error()))
		return
	}
	old := g.settings.Swap(&s)
	g.forward.RetryBudget.UpdateSettings(s.RetryBudget.bounds())
	changed := "false"
	if !reflect.DeepEqual(*old, s) {
		changed = "true"
	}
	g.events.Record(event.SettingsReloaded, "", event.F("changed", changed))
}
