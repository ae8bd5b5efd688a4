package durable

import (
	"context"
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// countingStore counts writes.
type countingStore struct {
	objectstore.Store
	writes int
}

// Put implements objectstore.Store.
func (s *countingStore) Put(context.Context, string, string, json.RawMessage, int64) (objectstore.Object, error) {
	s.writes++
	return objectstore.Object{}, nil
}

// PutStatus implements objectstore.StatusWriter.
func (s *countingStore) PutStatus(context.Context, string, string, json.RawMessage, int64) (objectstore.Object, error) {
	s.writes++
	return objectstore.Object{}, nil
}

func TestStore(t *testing.T) {
	Convey("Given a store with a kind that is written again and one whose reader does that", t, func() {
		var eras []int64
		inner := &countingStore{}
		s := NewStore(inner, inner)
		s.Declare(Kind{Name: "a", Restore: func(era int64) { eras = append(eras, era) }}, Kind{Name: "b"})

		Convey("objects of declared kinds are written, others are not", func() {
			for kind, declared := range map[string]bool{"a": true, "b": true, "c": false} {
				_, err := s.Put(t.Context(), kind, "o", nil, 0)
				So(err == nil, ShouldEqual, declared)
				_, err = s.PutStatus(t.Context(), kind, "o", nil, 0)
				So(err == nil, ShouldEqual, declared)
			}
			So(inner.writes, ShouldEqual, 4)
		})
		Convey("a kind is written again once an era, and not for an older one", func() {
			for _, era := range []int64{2, 2, 3, 2, 3} {
				s.HandleRestoration(era)
			}
			So(eras, ShouldResemble, []int64{2, 3})
		})
	})
}
