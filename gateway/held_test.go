package gateway

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// TestHeldInReports guards against reports that are larger than before although the daemon holds
// no streams, and against daemons of older builds that fail on reports of newer ones.
func TestHeldInReports(t *testing.T) {
	decode := func(report loadReport) (fields map[string]any) {
		body, err := msgpack.Marshal(report)
		if err != nil {
			t.Fatal(err)
		}
		if err := msgpack.Unmarshal(body, &fields); err != nil {
			t.Fatal(err)
		}
		var older struct {
			Leaving bool `msgpack:"l,omitempty"`
		}
		if err := msgpack.Unmarshal(body, &older); err != nil || older.Leaving != report.Leaving {
			t.Errorf("an older build decodes %+v, error %v", older, err)
		}
		return fields
	}
	if _, ok := decode(loadReport{Leaving: true})["w"]; ok {
		t.Error("a daemon that holds nothing reports it")
	}
	if _, ok := decode(loadReport{Leaving: true, Held: map[string][]int{"svc": {0, 0, 3}}})["w"]; !ok {
		t.Error("held streams are not reported")
	}
}
