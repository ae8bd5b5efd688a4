package membudget

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

func TestReadAll(t *testing.T) {
	cases := []struct {
		name     string
		size     int
		maxBytes int
		limit    int64
		err      error
	}{
		{"an empty body", 0, 10, 0, nil},
		{"a body of the allowed size", 100_000, 100_000, 1 << 20, nil},
		{"a body that is too long", 100_001, 100_000, 1 << 20, ErrTooLong},
		{"a short body and no budget", FreeBytes / 4, 100_000, 0, nil},
		{"a long body and no budget", 2 * FreeBytes, 100_000, 0, ErrExhausted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New(c.limit)
			share := b.NewShare()
			want := strings.Repeat("a", c.size)
			got, err := share.ReadAll(io.NopCloser(strings.NewReader(want)), c.maxBytes)
			if !errors.Is(err, c.err) || err == nil && string(got) != want {
				t.Errorf("%d bytes, error %v, want %d bytes and error %v", len(got), err, c.size, c.err)
			}
			if counted := max(0, int64(cap(got))-FreeBytes); b.Used() != counted {
				t.Errorf("%d bytes count, want %d", b.Used(), counted)
			}
			share.Release()
			if b.Used() != 0 {
				t.Errorf("%d bytes count after the release, want none", b.Used())
			}
		})
	}
}

// TestEndlessBodyYields guards against complete answers that fail because bodies without
// an end hold the memory.
func TestEndlessBodyYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1 << 20
		b := New(limit)
		var wg sync.WaitGroup
		failed := make(chan error, 4)
		for range cap(failed) {
			r, w := io.Pipe()
			wg.Go(func() {
				_, err := b.NewShare().ReadAll(r, 1<<30)
				failed <- err
			})
			wg.Go(func() {
				for chunk := make([]byte, 1<<10); ; time.Sleep(time.Millisecond) {
					if _, err := w.Write(chunk); err != nil {
						return
					}
				}
			})
		}
		for range 1000 {
			share := b.NewShare()
			want := bytes.Repeat([]byte("a"), 40<<10)
			got, err := share.ReadAll(io.NopCloser(bytes.NewReader(want)), 1<<20)
			if err != nil || !bytes.Equal(got, want) {
				t.Fatalf("%d bytes, error %v, want the complete body", len(got), err)
			}
			if used := b.Used(); used > limit {
				t.Fatalf("%d bytes count, want at most %d", used, limit)
			}
			share.Release()
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		for range cap(failed) {
			if err := <-failed; !errors.Is(err, ErrExhausted) {
				t.Errorf("a body without an end ended with error %v, want ErrExhausted", err)
			}
		}
		if b.Used() != 0 {
			t.Errorf("%d bytes count at the end, want none", b.Used())
		}
	})
}

// TestCompleteAnswersStay guards against an answer that loses its memory while it is
// passed on.
func TestCompleteAnswersStay(t *testing.T) {
	b := New(100_000)
	complete := b.NewShare()
	if _, err := complete.ReadAll(io.NopCloser(strings.NewReader(strings.Repeat("a", 60_000))), 60_000); err != nil {
		t.Fatal(err)
	}
	used := b.Used()
	if _, err := b.NewShare().ReadAll(io.NopCloser(strings.NewReader(strings.Repeat("a", 60_000))), 60_000); !errors.Is(err, ErrExhausted) {
		t.Errorf("error %v, want ErrExhausted", err)
	}
	if b.Used() != used {
		t.Errorf("%d bytes count, want %d", b.Used(), used)
	}
}
