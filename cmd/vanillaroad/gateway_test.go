package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGatewayCommands(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	run := func(args ...string) (string, error) {
		root := newRoot(&options{})
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(append([]string{"gateway"}, args...))
		err := root.Execute()
		return out.String(), err
	}
	Convey("all errors of a settings file are reported together", t, func() {
		_, err := run("check-settings", file("bad.json", `{"id":"vm","place":"","callers":"nowhere","grace":"8s"}`))
		So(err, ShouldNotBeNil)
		for _, setting := range []string{"place", "region", "callers", "directory", "retry_budget.window"} {
			So(err.Error(), ShouldContainSubstring, setting)
		}
		So(exitCode(err), ShouldEqual, exitBadInput)
	})
	Convey("a configuration is checked offline", t, func() {
		out, err := run("check-configuration", file("c.json", `{"version":3,"routes":[]}`))
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "version 3")
		_, err = run("check-configuration", file("torn.json", `{"version":3,"ro`))
		So(exitCode(err), ShouldEqual, exitBadInput)
	})
	Convey("lines about a request are collected from the logs of all daemons, in time order", t, func() {
		a := file("a.log", `{"ts":"2026-01-01T00:00:02Z","request":"r1","name":"second"}`+"\nnot a line of ours r1\n")
		b := file("b.log", `{"ts":"2026-01-01T00:00:01Z","request":"r1","name":"first"}`+"\n"+`{"ts":"2026-01-01T00:00:01Z","request":"r2"}`+"\n")
		out, err := run("follow", "r1", a, b)
		So(err, ShouldBeNil)
		So(strings.Count(out, "\n"), ShouldEqual, 2)
		So(strings.Index(out, "first"), ShouldBeLessThan, strings.Index(out, "second"))
		_, err = run("follow", "r9", a, b)
		So(err, ShouldNotBeNil)
	})
}
