package generation

import (
	"encoding/base64"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrBadCursor is returned for a malformed cursor, which no daemon issued.
var ErrBadCursor = errors.New("bad cursor")

// Cursor identifies the last event that a caller received. It gives the number of
// tokens that the caller holds, and the daemon, target, model version and attempt
// that the last token came from. Callers treat it as opaque.
type Cursor struct {
	Held        int64  `json:"n"` // number of tokens that the caller holds
	Target      string `json:"t,omitempty"`
	Version     string `json:"v,omitempty"`
	Attempt     int64  `json:"a,omitempty"`
	Incarnation uint64 `json:"i,omitempty"`
	Daemon      string `json:"d,omitempty"` // peer address of the daemon that sent it
	PrefixHash  uint64 `json:"c,omitempty"` // hash of the tokens held
}

// Encode returns the text form: unpadded URL-safe base64 of JSON.
func (c Cursor) Encode() string {
	b, _ := json.Marshal(c) // can't fail for these field types
	return base64.RawURLEncoding.EncodeToString(b)
}

// DecodeCursor parses a cursor; the empty string is the zero cursor.
func DecodeCursor(s string) (Cursor, error) {
	var c Cursor
	if s == "" {
		return c, nil
	}
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return c, errors.Wrap(ErrBadCursor, err.Error())
	}
	if err := json.Unmarshal(b, &c); err != nil {
		return c, errors.Wrap(ErrBadCursor, err.Error())
	}
	if c.Held < 0 {
		return Cursor{}, errors.Wrap(ErrBadCursor, "negative position")
	}
	return c, nil
}

// prefixHash returns the hash of a token list, given the last token and the hash
// of the tokens before it. Lists with equal hashes are considered equal.
func prefixHash(previous uint64, text string) uint64 {
	d := xxhash.NewWithSeed(previous)
	_, _ = d.WriteString(text) // never fails
	return d.Sum64()
}
