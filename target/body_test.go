package target

import (
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
)

// TestRequestBody guards against a request whose texts reach the target changed, and against an
// announced length that is not that of the body.
func TestRequestBody(t *testing.T) {
	long := strings.Repeat("a\"\\\n\x00é\u2028<&>", quoteBytes/3)
	for _, want := range []GenerateRequest{
		{},
		{Prompt: "p", Forced: []string{""}},
		{Prompt: long, Forced: []string{"a", "", long, "\"", "b"}, Seed: 3, Model: `"prompt":""`, Workspace: "w"},
	} {
		body, err := generateBody(want)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(iotest.OneByteReader(body))
		if err != nil || int64(len(b)) != body.length {
			t.Fatalf("%d bytes, error %v, want %d bytes", len(b), err, body.length)
		}
		var got GenerateRequest
		if err := json.Unmarshal(b, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("error %v, or another request, of %d bytes", err, len(b))
		}
	}
	body, err := callBody(Call{Key: "k", Workspace: "w", Body: "a\xffb"})
	if err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(body)
	var got Call
	if err := json.Unmarshal(b, &got); err != nil || got != (Call{Key: "k", Workspace: "w", Body: "a\ufffdb"}) {
		t.Errorf("call %+v, error %v", got, err)
	}
}
