package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/platform"
)

// TestCheckConfiguration guards against an exit code that lets a pipeline send a wrong
// configuration, and against output that a script can't read.
func TestCheckConfiguration(t *testing.T) {
	const clean = `{"version":8,"services":[{"name":"s"}],
"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"idempotent","service":"s"}],
"tenants":[{"name":"w","api_keys":["secret-1"]}]}`
	active := strings.NewReplacer(`"version":8`, `"version":7`, "secret-1", "secret-2").Replace(clean)
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	run := func(stdin string, args ...string) (stdout, stderr string, code int) {
		root := newRoot(&options{})
		var out, errOut bytes.Buffer
		root.SetIn(strings.NewReader(stdin))
		root.SetOut(&out)
		root.SetErr(&errOut)
		root.SetArgs(append([]string{"gateway", "check-configuration"}, args...))
		if err := root.Execute(); err != nil {
			code = exitCode(err)
		}
		if strings.Contains(out.String()+errOut.String(), "secret") {
			t.Errorf("a key is in the output of %v: %s", args, out.String())
		}
		return out.String(), errOut.String(), code
	}
	path := file("clean.json", clean)
	torn := file("torn.json", "{\n\"version\":3,\n\"ro")
	Convey("The exit code tells errors, warnings and changes apart", t, func() {
		out, errOut, code := run("", path)
		So([]any{out, errOut, code}, ShouldResemble, []any{"good: version 8, 1 routes, 1 services, 1 workspaces\n", "", 0})
		out, errOut, code = run(strings.Replace(clean, `"s"}],`, `"s"},{"name":"t"}],`, 1), "-")
		So([]any{out, errOut, code}, ShouldResemble, []any{"warning: services[1] (line 1): no route names service \"t\"\n", "", exitDiffers})
		out, _, code = run("", path, "--against", file("active.json", active))
		So(out, ShouldStartWith, `change: tenants[0] (line 3): workspace "w": keys 1 (hash `)
		So(code, ShouldEqual, 0)
		out, _, code = run("", file("old.json", active), "--against", path)
		So(out, ShouldStartWith, "error: version (line 1): version 7 is not above the active version 8")
		So(code, ShouldEqual, exitBadInput)
	})
	Convey("Files that can't be read or decoded are errors of the file", t, func() {
		absent := filepath.Join(dir, "absent.json")
		for want, args := range map[string][]string{torn + " (line 3): ": {torn}, torn + " (line 3):": {path, "--against", torn}, absent + ": ": {absent, "--against", path}} {
			out, _, code := run("", args...)
			So(out, ShouldStartWith, "error: "+want)
			So(code, ShouldEqual, exitBadInput)
		}
	})
	Convey("JSON is a list of findings, also without any", t, func() {
		out, _, _ := run("", path, "-o", "json")
		So(strings.TrimSpace(out), ShouldEqual, "[]")
		out, _, code := run(strings.Replace(clean, `"kind":"idempotent"`, `"kind":"often","x":1`, 1), "-", "-o", "json")
		var findings []map[string]any
		So(json.Unmarshal([]byte(out), &findings), ShouldBeNil)
		So(findings, ShouldHaveLength, 2)
		So(findings[0], ShouldResemble, map[string]any{"severity": "error", "code": "invalid_route", "path": "routes[0].kind", "line": 2.0,
			"kind": "route", "name": "r", "message": `route "r": unknown route kind "often"`})
		So(code, ShouldEqual, exitBadInput)
	})
	Convey("Contradictory arguments are refused", t, func() {
		for _, args := range [][]string{{path, "--against", path, "--store", "127.0.0.1:1"}, {"-", "--against", "-"}, {path, "--store", "store:7000"}} {
			_, errOut, code := run("", args...)
			So(errOut, ShouldNotBeEmpty)
			So(code, ShouldEqual, exitBadInput)
		}
	})
	Convey("The active configuration is read from the store", t, func() {
		store := standin.NewPlatform()
		server := httptest.NewServer(store.Handler())
		defer server.Close()
		client := platform.NewClient(server.URL, metrics.NewRegistry())
		defer client.Close()
		address := server.Listener.Addr().String()
		out, _, code := run("", path, "--store", address)
		So(out, ShouldStartWith, "warning: store "+address+": there is no configuration in the store")
		So(code, ShouldEqual, exitDiffers)
		object, err := client.Put(context.Background(), platform.ConfigurationKind, platform.ConfigurationName, json.RawMessage(active), 0)
		So(err, ShouldBeNil)
		out, _, code = run("", path, "--store", address)
		So(out, ShouldStartWith, "change: tenants[0] (line 3): ")
		So(code, ShouldEqual, 0)
		store.SetFaults(standin.PlatformFaults{Down: true})
		out, _, code = run("", path, "--store", address)
		So(out, ShouldStartWith, "error: store "+address+": the store did not answer")
		So(code, ShouldEqual, exitRefused)
		_, _, code = run("", torn, "--store", address)
		So(code, ShouldEqual, exitBadInput) // a later attempt would fail too
		store.SetFaults(standin.PlatformFaults{})
		_, err = client.Put(context.Background(), platform.ConfigurationKind, platform.ConfigurationName, json.RawMessage(strings.Replace(active, `"h"`, "1.5", 1)), object.Version)
		So(err, ShouldBeNil)
		out, _, code = run("", path, "--store", address)
		So(out, ShouldStartWith, "warning: store "+address+": daemons refuse the configuration in the store")
		So(code, ShouldEqual, exitDiffers)
	})
}
