package settings

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestParse(t *testing.T) {
	Convey("a settings file", t, func() {
		valid := `{"id":"vm-1","place":"bloem-a","region":"free-state","api_address":"127.0.0.1:7100","peer_address":"127.0.0.1:7200","platform":"http://127.0.0.1:7000"}`
		Convey("that is valid is read over the defaults", func() {
			s, err := Parse([]byte(valid))
			So(err, ShouldBeNil)
			So(s.EventRing, ShouldEqual, Default().EventRing)
		})
		Convey("with several errors has all of them reported with their paths", func() {
			_, err := Parse([]byte(`{"place":"bloem-a","region":"free-state","api_address":"nowhere","peer_address":"127.0.0.1:7200","platform":"http://127.0.0.1:7000","generation":{"silence":"0s"}}`))
			violations, ok := err.(ValidationErrors)
			So(ok, ShouldBeTrue)
			So(violations, ShouldHaveLength, 3)
			So(err.Error(), ShouldContainSubstring, "generation.silence")
		})
		Convey("with an invalid setting has its unknown keys reported, too", func() {
			_, err := Parse([]byte(`{"idd":"vm-1"}`))
			So(err.Error(), ShouldContainSubstring, "idd")
		})
		// Daemons of an older build ended when they were given the settings of a newer one.
		Convey("of a newer build is read, and each unknown key is named", func() {
			s, err := Parse([]byte(strings.TrimSuffix(valid, "}") + `,"relays":{"a":1},"generation":{"silence":"2s","silences":[]}}`))
			So(err, ShouldBeNil)
			So(s.ID, ShouldEqual, "vm-1")
			So(s.Unknown, ShouldResemble, []string{"generation.silences", "relays"})
			So(CheckUnknown(s.Unknown).Error(), ShouldContainSubstring, "generation.silences: unknown setting")
		})
		Convey("with a number in another form of JSON is read, with a fraction it is not", func() {
			s, err := Parse([]byte(strings.TrimSuffix(valid, "}") + `,"event_ring":2e3}`))
			So(err, ShouldBeNil)
			So(s.EventRing, ShouldEqual, 2000)
			_, err = Parse([]byte(strings.TrimSuffix(valid, "}") + `,"event_ring":2000.5}`))
			So(err.Error(), ShouldContainSubstring, "event_ring")
		})
		Convey("without unknown keys passes the check", func() {
			s, err := Parse([]byte(strings.TrimSuffix(valid, "}") + `,"Log_Level":"debug","generation":{"silence":"2s"}}`))
			So(err, ShouldBeNil)
			So(CheckUnknown(s.Unknown), ShouldBeNil)
		})
	})
}
