package confirmation

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"unicode/utf8"
)

// digestPartBytes is the largest part of a text that is encoded at a time.
const digestPartBytes = 16 << 10

// requestDigest returns a digest of the request that a key was used for: that of the JSON array of
// its workspace, service, body and labels.
func requestDigest(r Request) string {
	h := sha256.New()
	_, _ = h.Write([]byte("[")) // never fails, like all writes of a hash
	for _, s := range []string{r.Workspace, r.Service, r.Body} {
		writeJSONString(h, s)
		_, _ = h.Write([]byte(","))
	}
	labels, err := json.Marshal(r.Labels)
	if err != nil {
		return ""
	}
	_, _ = h.Write(append(labels, ']'))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// writeJSONString writes s as package json encodes it, in parts, so that a long text is not copied.
func writeJSONString(h hash.Hash, s string) {
	_, _ = h.Write([]byte(`"`))
	for len(s) > 0 {
		end := min(len(s), digestPartBytes)
		for back := 0; end < len(s) && back < utf8.UTFMax && !utf8.RuneStart(s[end]); back++ {
			end-- // parts end between runes
		}
		part, _ := json.Marshal(s[:end]) // never fails for a string
		_, _ = h.Write(part[1 : len(part)-1])
		s = s[end:]
	}
	_, _ = h.Write([]byte(`"`))
}
