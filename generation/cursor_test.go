package generation

import (
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestCursor(t *testing.T) {
	Convey("a cursor survives encoding and decoding", t, func() {
		c := Cursor{Held: 7, Target: "a", Version: "1", Attempt: randomFirstAttempt(), Incarnation: 1 << 63, Daemon: "127.0.0.1:7200", PrefixHash: 1<<64 - 1}
		got, err := DecodeCursor(c.Encode())
		So(err, ShouldBeNil)
		So(got, ShouldResemble, c)
	})
	Convey("an invalid cursor is rejected", t, func() {
		for _, s := range []string{"!", "AAAA", Cursor{Held: -1}.Encode()} {
			_, err := DecodeCursor(s)
			So(errors.Is(err, ErrBadCursor), ShouldBeTrue)
		}
	})
}

// A caller may continue an answer only if the answer begins with the tokens that the
// caller holds. hasPrefix must return the same result with the tokens and with the
// cursor alone.
func TestAnswerContinues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab"}), 0, 6)
		answered, held := words.Draw(t, "answer"), words.Draw(t, "held")
		if rapid.Bool().Draw(t, "prefix") {
			held = append([]string(nil), answered[:rapid.IntRange(0, len(answered)).Draw(t, "length")]...)
		}
		answer := NewAnswer(answered, Cursor{})
		cursor := NewAnswer(held, Cursor{}).CursorAt(int64(len(held)))
		want := len(held) <= len(answered)
		for i := 0; want && i < len(held); i++ {
			want = held[i] == answered[i]
		}
		if got := answer.hasPrefix(held, cursor); got != want {
			t.Fatalf("hasPrefix with the tokens: got %v, want %v", got, want)
		}
		if got := answer.hasPrefix(nil, cursor); got != want {
			t.Fatalf("hasPrefix with the cursor alone: got %v, want %v", got, want)
		}
	})
}

// FuzzDecodeCursor checks that no decoded cursor makes hasPrefix panic.
func FuzzDecodeCursor(f *testing.F) {
	f.Add(Cursor{Held: 3, Target: "a"}.Encode())
	f.Add("")
	f.Fuzz(func(t *testing.T, s string) {
		c, err := DecodeCursor(s)
		if err != nil {
			return
		}
		NewAnswer([]string{"x"}, Cursor{}).hasPrefix(nil, c)
	})
}
