package confirmation

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"testing"
)

// TestRequestDigest guards against a digest that differs from that of other builds, which hash the
// whole JSON text: a repeated request would be refused as another one.
func TestRequestDigest(t *testing.T) {
	for name, body := range map[string]string{
		"empty": "", "short": "a<b>\"\\\n", "long": strings.Repeat("aé€😀<\u2028", digestPartBytes), "invalid": strings.Repeat("a\xff\xa9\x80\x80\x80\x80\x80", digestPartBytes),
	} {
		for _, labels := range []map[string]string{nil, {"b": "<", "a": ""}} {
			r := Request{Workspace: "w&", Service: "s", Body: body, Labels: labels}
			b, err := json.Marshal([]any{r.Workspace, r.Service, r.Body, r.Labels})
			if err != nil {
				t.Fatal(err)
			}
			sum := sha256.Sum256(b)
			if got, want := requestDigest(r), hex.EncodeToString(sum[:16]); got != want {
				t.Errorf("%s: digest %s, want %s", name, got, want)
			}
		}
	}
}
