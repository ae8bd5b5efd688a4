package target

import (
	"encoding/json"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// quoteBytes is the largest part of a text that is quoted at a time.
const quoteBytes = 16 << 10

// requestBody is a JSON object that ends with texts, which are quoted while the body is read: a
// request needs no second copy of a prompt.
type requestBody struct {
	head   string // the object up to its texts
	fields []textField
	length int64

	// State of Read.
	pending []byte // quoted and not read yet
	buffer  []byte // of pending
	field   int    // current field; len(fields) after the last one
	text    int    // current text of it
	offset  int    // first byte of the text that is not quoted yet
}

// textField is a field of strings: an array, or a single string.
type textField struct {
	name  string
	texts []string
	array bool
}

// newRequestBody returns the fields of v, which must be an object with a field at least, followed
// by text fields. Empty arrays are left out.
func newRequestBody(v any, fields ...textField) (*requestBody, error) {
	head, err := json.Marshal(v)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b := &requestBody{head: strings.TrimSuffix(string(head), "}")}
	for _, f := range fields {
		if f.array && len(f.texts) == 0 {
			continue
		}
		texts := f.texts
		for i, t := range texts {
			if !utf8.ValidString(t) {
				if &texts[0] == &f.texts[0] {
					texts = append([]string(nil), f.texts...)
				}
				texts[i] = strings.ToValidUTF8(t, "\ufffd")
			}
		}
		b.fields = append(b.fields, textField{f.name, texts, f.array})
	}
	b.length = b.count()
	b.pending = []byte(b.head)
	return b, nil
}

// count returns the number of bytes of the whole body.
func (b *requestBody) count() int64 {
	n := len(b.head) + len("}")
	for _, f := range b.fields {
		n += len(f.open()) + len(f.end()) + len(`""`)*len(f.texts) + len(",")*(len(f.texts)-1)
		for _, t := range f.texts {
			n += quotedLen(t)
		}
	}
	return int64(n)
}

func (f textField) open() string {
	if f.array {
		return `,"` + f.name + `":[`
	}
	return `,"` + f.name + `":`
}

func (f textField) end() string {
	if f.array {
		return "]"
	}
	return ""
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		if b.field > len(b.fields) {
			return 0, io.EOF
		}
		b.quoteNext()
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// quoteNext quotes the next part.
func (b *requestBody) quoteNext() {
	b.buffer = b.buffer[:0]
	if b.field == len(b.fields) {
		b.buffer = append(b.buffer, '}')
		b.field++
		b.pending = b.buffer
		return
	}
	f := b.fields[b.field]
	for b.text < len(f.texts) && len(b.buffer) < quoteBytes {
		t := f.texts[b.text]
		if b.offset == 0 {
			if b.text == 0 {
				b.buffer = append(b.buffer, f.open()...)
			} else {
				b.buffer = append(b.buffer, ',')
			}
			b.buffer = append(b.buffer, '"')
		}
		part := t[b.offset:min(len(t), b.offset+quoteBytes)]
		b.buffer = appendQuoted(b.buffer, part)
		if b.offset += len(part); b.offset == len(t) {
			b.buffer = append(b.buffer, '"')
			b.text, b.offset = b.text+1, 0
		}
	}
	if b.text == len(f.texts) {
		b.buffer = append(b.buffer, f.end()...)
		b.field, b.text = b.field+1, 0
	}
	b.pending = b.buffer
}

// appendQuoted appends the content of a JSON string.
func appendQuoted(dst []byte, s string) []byte {
	const hex = "0123456789abcdef"
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			dst = append(dst, '\\', c)
		case c < ' ':
			dst = append(dst, '\\', 'u', '0', '0', hex[c>>4], hex[c&0xf])
		default:
			dst = append(dst, c)
		}
	}
	return dst
}

// quotedLen returns the number of bytes that appendQuoted appends.
func quotedLen(s string) int {
	n := len(s)
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			n++
		case c < ' ':
			n += len(`u0000`)
		}
	}
	return n
}
