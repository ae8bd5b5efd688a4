package node

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
)

func TestPace(t *testing.T) {
	cases := []struct {
		name           string
		resumed        bool
		batches        []int
		first, between int64 // expected number of values in each histogram
		tokens         int64
	}{
		{"an answer from its start", false, []int{1, 2, 0, 3}, 1, 2, 6},
		{"an answer that is resumed here", true, []int{1, 2}, 0, 2, 3},
		{"an answer without tokens", false, []int{0}, 0, 0, 0},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			p := newTokenMetrics(metrics.NewRegistry(), c.resumed)
			for _, n := range c.batches {
				p.recordTokens(n)
			}
			So(p.firstToken.Count(), ShouldEqual, c.first)
			So(p.betweenTokens.Count(), ShouldEqual, c.between)
			So(p.tokens.Count(), ShouldEqual, c.tokens)
		})
	}
}
