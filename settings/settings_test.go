package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestParse(t *testing.T) {
	Convey("Given settings", t, func() {
		good := `{"id":"vm-1","place":"bloem-a","region":"free-state","api_address":"127.0.0.1:7100","peer_address":"127.0.0.1:7200","platform":"http://127.0.0.1:7000"}`
		Convey("good ones are read over the defaults", func() {
			s, err := Parse([]byte(good))
			So(err, ShouldBeNil)
			So(s.EventRing, ShouldEqual, Default().EventRing)
		})
		Convey("every fault is named at once with its path", func() {
			_, err := Parse([]byte(`{"place":"bloem-a","region":"free-state","api_address":"nowhere","peer_address":"127.0.0.1:7200","platform":"http://127.0.0.1:7000","generation":{"silence":"0s"}}`))
			faults, ok := err.(ValidationErrors)
			So(ok, ShouldBeTrue)
			So(faults, ShouldHaveLength, 3)
			So(err.Error(), ShouldContainSubstring, "generation.silence")
		})
		Convey("an unknown key is an error", func() {
			_, err := Parse([]byte(`{"idd":"vm-1"}`))
			So(err.Error(), ShouldContainSubstring, "idd")
		})
	})
}
