package jsonnumber

import (
	"encoding/json"
	"math/big"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestNormalize(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":1200.0,"b":[1.2e3,12E+2,120000e-2,-5.000E0],"c":1200}`:                                   `{"a":1200,"b":[1200,1200,1200,-5],"c":1200}`,
		`[0.0,-0.0,0e99999,1200.5,1e-1,1e19,1e999999999]`:                                              `[0,-0,0,1200.5,1e-1,1e19,1e999999999]`,
		`{"1.0":"2.0 \" 3.0","x":"\\",  "y":4.0}`:                                                      `{"1.0":"2.0 \" 3.0","x":"\\",  "y":4}`,
		`[9223372036854775807.0,9223372036854775808.0,-9223372036854775808.0,92233720368547758070e-1]`: `[9223372036854775807,9223372036854775808.0,-9223372036854775808,9223372036854775807]`,
		`1.0`: `1`, `"1.0`: `"1.0`, `[1.]`: `[1.]`, `[.5e1]`: `[.5e1]`, `[1.0`: `[1.0`, `[01.0]`: `[01.0]`, `[1.0,}`: `[1.0,}`, ``: ``, `[1e]`: `[1e]`, `[--1.0]`: `[--1.0]`,
	} {
		if got := string(Normalize([]byte(text))); got != want {
			t.Errorf("Normalize(%s) = %s, want %s", text, got, want)
		}
	}
}

func TestParseInt(t *testing.T) {
	for text, want := range map[string]int64{"3": 3, "+3": 3, "03": 3, "3.0": 3, "3e0": 3, "-12.50e1": -125, "0.0": 0} {
		if n, ok := ParseInt(text); !ok || n != want {
			t.Errorf("ParseInt(%q) = %d, %t, want %d", text, n, ok, want)
		}
	}
	for _, text := range []string{"", "3.5", "x", "1e19", "0x10", "1_000", "1.", ".0", "NaN", "Inf", "1e9999999999999999999", "3 ", "1e1.0"} {
		if n, ok := ParseInt(text); ok {
			t.Errorf("ParseInt(%q) = %d, want none", text, n)
		}
	}
}

// TestNormalizeKeepsValues guards against a text that means another value after it was
// normalized, a whole number that can't be decoded into an integer, and an invalid text that
// becomes valid.
func TestNormalizeKeepsValues(t *testing.T) {
	decode := func(text string) (out any, ok bool) {
		d := json.NewDecoder(strings.NewReader(text))
		d.UseNumber()
		return out, json.Valid([]byte(text)) && d.Decode(&out) == nil
	}
	number := rapid.StringMatching(`-?[0-9]{0,20}(\.[0-9]{0,20})?([eE][+-]?[0-9]{0,2})?`)
	text := rapid.StringMatching(`"([a-z0-9.]|\\"|\\\\)*"`)
	rapid.Check(t, func(t *rapid.T) {
		n := number.Draw(t, "number")
		in := "{" + text.Draw(t, "name") + ": [" + n + "," + text.Draw(t, "text") + "]}"
		out := string(Normalize([]byte(in)))
		before, valid := decode(in)
		after, stillValid := decode(out)
		if valid != stillValid {
			t.Fatalf("%s (valid: %t) became %s", in, valid, out)
		}
		if !valid {
			return
		}
		list := func(v any) []any {
			for _, l := range v.(map[string]any) {
				return l.([]any)
			}
			return nil
		}
		if !reflect.DeepEqual(list(before)[1], list(after)[1]) || len(list(after)) != 2 {
			t.Fatalf("%s became %s", in, out)
		}
		exact, _ := new(big.Rat).SetString(n)
		now, _ := new(big.Rat).SetString(string(list(after)[0].(json.Number)))
		if exact.Cmp(now) != 0 {
			t.Fatalf("%s became %s", in, out)
		}
		var integer int64
		fits := exact.IsInt() && exact.Num().IsInt64()
		if err := json.Unmarshal([]byte(list(after)[0].(json.Number)), &integer); (err == nil) != fits {
			t.Fatalf("%s became %s, which decodes with error %v", in, out, err)
		}
	})
}

func FuzzNormalize(f *testing.F) {
	f.Add(`{"a":1200.0,"b":"1.0"}`)
	f.Fuzz(func(t *testing.T, text string) {
		if out := Normalize([]byte(text)); json.Valid([]byte(text)) != json.Valid(out) {
			t.Errorf("%q became %q", text, out)
		}
	})
}
