package main

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPage(t *testing.T) {
	Convey("docs/operators/settings.md matches the settings; if not, run go generate ./settings", t, func() {
		const root = "../.."
		want, err := page(root)
		So(err, ShouldBeNil)
		got, err := os.ReadFile(root + "/docs/operators/settings.md")
		So(err, ShouldBeNil)
		So(string(got), ShouldEqual, want)
	})
}
