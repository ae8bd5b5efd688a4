package gateway

import (
	"bytes"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/exposition"
	"github.com/vanillaroad/vanillaroad/platform"
)

// refusedConfiguration is a configuration that the store accepted and this daemon can't decode.
type refusedConfiguration struct {
	value   []byte
	version int64 // 0 if it can't be decoded either
	reason  string
	at      time.Time
	// keys are the API keys that the configuration has. They are nil if it can't be read that far;
	// then none counts as taken away.
	keys map[string]bool
}

// applyConfigurationChange activates a changed configuration.
func (g *Gateway) applyConfigurationChange(c exchange.Change, origin changeOrigin) {
	for _, e := range c.Changed {
		if e.Name == platform.ConfigurationName {
			g.applyConfiguration(e, origin.fields(len(e.Value)))
		}
	}
}

// applyConfiguration activates a configuration, unless the active one has the same or a
// later version, as after a restoration of the store from an older copy. One that can't be
// decoded is refused. originFields are the fields of the log line about its origin.
func (g *Gateway) applyConfiguration(e exchange.Entry, originFields []event.Field) {
	decodeFrom := time.Now()
	d, err := platform.DecodeDocument(toObject(e))
	g.tableMu.Lock()
	defer g.tableMu.Unlock()
	if err != nil {
		g.refuseConfiguration(e, err, originFields)
		return
	}
	if current := g.table.Load(); current != nil && current.Version >= d.Version {
		return
	}
	if refused := g.refused.Load(); refused != nil && refused.version <= d.Version {
		g.refused.Store(nil)
	}
	g.document.Store(&e)
	g.table.Store(ingress.NewTable(g.withoutDroppedKeys(d)))
	g.events.Record(event.ConfigurationActivated, "", append(originFields, event.F("version", strconv.FormatInt(d.Version, 10)),
		event.F("decoding", time.Since(decodeFrom).Round(time.Millisecond).String()))...)
}

// refuseConfiguration records a configuration that can't be decoded, once while it doesn't
// change, and drops the API keys that it takes away. g.tableMu is held.
func (g *Gateway) refuseConfiguration(e exchange.Entry, err error, originFields []event.Field) {
	if before := g.refused.Load(); before != nil && bytes.Equal(before.value, e.Value) {
		return
	}
	refused := &refusedConfiguration{value: e.Value, reason: err.Error(), at: time.Now()}
	refused.version, refused.keys = platform.DecodeKeys(e.Value)
	current := g.table.Load()
	if current != nil && refused.version != 0 && refused.version <= current.Version {
		return // an older one, which would not be activated
	}
	g.refused.Store(refused)
	g.events.Record(event.ConfigurationRefused, "", append(originFields, event.F("error", refused.reason), event.F("version", strconv.FormatInt(refused.version, 10)))...)
	if document := g.document.Load(); document != nil {
		if d, err := platform.DecodeDocument(toObject(*document)); err == nil {
			g.table.Store(ingress.NewTable(g.withoutDroppedKeys(d)))
		}
	}
}

// withoutDroppedKeys returns a configuration without the API keys that a refused newer one
// doesn't have. Keys that are taken away must not work longer because of an error elsewhere.
func (g *Gateway) withoutDroppedKeys(d ingress.Document) ingress.Document {
	refused := g.refused.Load()
	if refused == nil || refused.keys == nil || refused.version <= d.Version {
		return d
	}
	return d.WithKeys(func(key string) bool { return refused.keys[key] })
}

// configurationView is the state of the configuration for operators.
type configurationView struct {
	Version int64        `json:"version"`           // the active one; 0 if there is none
	Refused *refusalView `json:"refused,omitempty"` // a newer one that the store accepted and this daemon can't use
}

type refusalView struct {
	Version int64     `json:"version,omitempty"` // 0 if it can't be decoded either
	Error   string    `json:"error"`
	At      time.Time `json:"at"`
	// KeysDropped means that API keys which the refused version doesn't have are refused.
	KeysDropped bool `json:"keys_dropped"`
}

func (g *Gateway) describeConfiguration() (view configurationView) {
	if table := g.table.Load(); table != nil {
		view.Version = table.Version
	}
	if refused := g.refused.Load(); refused != nil {
		view.Refused = &refusalView{Version: refused.version, Error: refused.reason, At: refused.at.UTC(), KeysDropped: refused.keys != nil && refused.version > view.Version}
	}
	return view
}

func (g *Gateway) writeConfigurationMetrics(out *bytes.Buffer) {
	view, refused := g.describeConfiguration(), 0
	if view.Refused != nil {
		refused = 1
	}
	exposition.WriteValue(out, "configuration_version", "gauge", view.Version)
	exposition.WriteValue(out, "configuration_refused", "gauge", refused)
}
