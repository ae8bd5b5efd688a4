// Package jsonnumber reads whole numbers in all forms that JSON allows: 1200, 1200.0 and
// 1.2e3 are the same number, but encoding/json decodes only the first one into an integer.
package jsonnumber

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// Normalize returns a JSON text in which whole numbers that fit into 64 bits have neither a
// point nor an exponent. Other numbers, strings and line breaks stay as they are, and so does
// a text that isn't valid. The result may share memory with text, which is not modified.
func Normalize(text []byte) []byte {
	var out []byte
	copied := 0 // bytes of text that are in out
	for i := 0; i < len(text); {
		switch c := text[i]; {
		case c == '"':
			i = endOfString(text, i)
		case c == '-' || '0' <= c && c <= '9':
			end, plain := endOfNumber(text, i)
			if !plain {
				if n, ok := parse(string(text[i:end])); ok {
					out = append(out, text[copied:i]...)
					out = append(out, n...)
					copied = end
				}
			}
			i = end
		default:
			i++
		}
	}
	if copied == 0 || !json.Valid(text) {
		return text
	}
	return append(out, text[copied:]...)
}

// endOfString returns the index after the string that begins at start.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

// endOfNumber returns the index after the number that begins at start, and whether it has
// neither a point nor an exponent.
func endOfNumber(text []byte, start int) (end int, plain bool) {
	plain = true
	for end = start; end < len(text); end++ {
		switch c := text[end]; {
		case c == '.' || c == 'e' || c == 'E':
			plain = false
		case c != '-' && c != '+' && (c < '0' || c > '9'):
			return end, plain
		}
	}
	return end, plain
}

// ParseInt parses a whole number in any form that JSON or strconv.ParseInt allows.
// It returns false if text is no such number, or the number doesn't fit into 64 bits.
func ParseInt(text string) (int64, bool) {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return n, true
	}
	normal, ok := parse(text)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(normal, 10, 64)
	return n, err == nil
}

// maxDigits is the largest number of digits of an integer of 64 bits.
const maxDigits = 19

// parse returns the digits of a whole number with their sign, and false if text is no whole
// number that fits into 64 bits.
func parse(text string) (string, bool) {
	mantissa, exponent, scaled := text, 0, false
	if i := strings.IndexAny(text, "eE"); i >= 0 {
		mantissa, scaled = text[:i], true
		n, err := strconv.Atoi(text[i+1:])
		if err != nil || n > math.MaxInt32 || n < math.MinInt32 {
			return "", false
		}
		exponent = n
	}
	sign := ""
	if strings.HasPrefix(mantissa, "-") {
		sign, mantissa = "-", mantissa[1:]
	}
	whole, fraction, pointed := strings.Cut(mantissa, ".")
	if !isDigits(whole) || pointed && !isDigits(fraction) || !pointed && !scaled {
		return "", false
	}
	exponent -= len(fraction) // of the last digit
	digits := strings.TrimLeft(whole+fraction, "0")
	significant := strings.TrimRight(digits, "0")
	exponent += len(digits) - len(significant)
	switch {
	case significant == "":
		return sign + "0", true
	case exponent < 0 || exponent > maxDigits-len(significant):
		return "", false
	}
	out := sign + significant + strings.Repeat("0", exponent)
	_, err := strconv.ParseInt(out, 10, 64)
	return out, err == nil
}

// isDigits reports whether text consists of decimal digits, at least one.
func isDigits(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return text != ""
}
