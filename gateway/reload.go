package gateway

import (
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// settingsPollInterval is the time between two checks of the settings file, which may
// change without a signal.
const settingsPollInterval = time.Second

// WatchSettings reloads the settings file at path when its modification time changes
// and on each signal from reload, until ctx is done.
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

// modTime returns the modification time of a file, or the zero time if the file can't
// be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings file, or keeps the current settings if the file is
// invalid. Changed addresses and a changed daemon id take effect at the next start only.
func (g *Gateway) reload(path string) {
	s, err := LoadSettings(path)
	if err != nil {
		g.events.Record(event.SettingsRefused, "", event.F("error", err.Error()))
		return
	}
	g.reportUnknownSettings(s)
	previous := g.settings.Swap(&s)
	g.forwarder.RetryBudget.UpdateSettings(s.RetryBudget.budgetSettings())
	changed := "false"
	if !reflect.DeepEqual(*previous, s) {
		changed = "true"
	}
	g.events.Record(event.SettingsReloaded, "", event.F("changed", changed))
}

// reportUnknownSettings logs the keys of the settings file that were ignored.
func (g *Gateway) reportUnknownSettings(s Settings) {
	if len(s.Unknown) > 0 {
		g.events.Record(event.SettingsUnknown, "", event.F("keys", strings.Join(s.Unknown, ",")))
	}
}
