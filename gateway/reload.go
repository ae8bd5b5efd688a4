package gateway

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// settingsPollInterval is how often the settings file is looked at: it may change without
// a signal.
const settingsPollInterval = time.Second

// WatchSettings reloads the settings file when it changes, and whenever reload
// brings a signal, until ctx ends.
func (g *Gateway) WatchSettings(ctx context.Context, path string, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
			modified := modTime(path)
			if modified.Equal(lastModified) {
				continue
			}
			lastModified = modified
		}
		g.reload(path)
	}
}

// modTime returns when a file was last changed; zero if that can't be told, which
// counts as no change.
func modTime(path string) time.Time {
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
	previous := g.settings.Swap(&s)
	g.forwarder.RetryBudget.UpdateSettings(s.RetryBudget.budgetSettings())
	changed := "false"
	if !reflect.DeepEqual(*previous, s) {
		changed = "true"
	}
	g.events.Record(event.SettingsReloaded, "", event.F("changed", changed))
}
