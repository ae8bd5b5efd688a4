package forward

import (
	"io"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

func TestEventReader(t *testing.T) {
	Convey("Only complete events are read, with their bytes unchanged", t, func() {
		cases := []struct {
			name, in string
			raw      []string
			ids      []int64
			end      error
		}{
			{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\ndata: c\n\n"}, []int64{1, 2}, io.EOF},
			{"carriage returns", "id:7\r\ndata: a\r\n\r\n", []string{"id:7\r\ndata: a\r\n\r\n"}, []int64{7}, io.EOF},
			{"an event without an id", "x-version: 3\ndata: a\n\n", []string{"x-version: 3\ndata: a\n\n"}, []int64{-1}, io.EOF},
			{"a truncated line", "id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, []int64{1}, ErrTruncated},
			{"an end after a complete line of an event", "id: 1\n", nil, nil, ErrTruncated},
			{"nothing", "", nil, nil, io.EOF},
		}
		for _, c := range cases {
			r := newEventReader(io.NopCloser(strings.NewReader(c.in)), membudget.New(0).NewShare())
			var raw []string
			var ids []int64
			var err error
			for {
				var ev Event
				if ev, err = r.next(); err != nil {
					break
				}
				raw, ids = append(raw, string(ev.Raw)), append(ids, ev.ID)
			}
			So(raw, ShouldResemble, c.raw)
			So(ids, ShouldResemble, c.ids)
			if c.end == io.EOF {
				So(err, ShouldEqual, io.EOF)
			} else {
				So(err.Error(), ShouldContainSubstring, c.end.Error())
			}
		}
	})
	Convey("An event id that is not a number is an error", t, func() {
		_, err := newEventReader(io.NopCloser(strings.NewReader("id: x\n\n")), membudget.New(0).NewShare()).next()
		So(err, ShouldNotBeNil)
	})
}
