package node

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/platform"
)

// platformRetry is the pause after a failed platform call.
const platformRetry = 500 * time.Millisecond

func (n *Node) buildConfiguration() {
	empty, _ := configuration.NewSnapshot(0, configuration.Document{}) // no selectors to fail on
	n.snapshot.Store(empty)
}

func (n *Node) runConfiguration(ctx context.Context) {
	n.spawn(func() { n.watchConfiguration(ctx) })
}

// watchConfiguration keeps the newest accepted version in force.
func (n *Node) watchConfiguration(ctx context.Context) {
	var since int64
	for ctx.Err() == nil {
		objects, revision, err := n.platform.Watch(ctx, configuration.ObjectKind, since)
		if err != nil {
			sleep(ctx, platformRetry)
			continue
		}
		since = revision
		for _, o := range objects {
			if o.Name == configuration.HeadName {
				n.adopt(o)
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// adopt puts a version in force unless a newer one is.
func (n *Node) adopt(o platform.Object) {
	if o.Version <= n.snapshot.Load().Version {
		return
	}
	var stored configuration.Stored
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		n.events.Record(event.ConfigurationRefused, "", event.F("error", err.Error()))
		return
	}
	s, err := configuration.NewSnapshot(o.Version, stored.Document)
	if err != nil {
		n.events.Record(event.ConfigurationRefused, "", event.F("error", err.Error()))
		return
	}
	n.snapshot.Store(s)
	n.events.Record(event.ConfigurationInForce, "", event.F("version", strconv.FormatInt(o.Version, 10)))
}
