package exposition

import (
	"bytes"
	"testing"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
)

func TestWriteMetric(t *testing.T) {
	gauge, float := metrics.NewGauge(), metrics.NewGaugeFloat64()
	gauge.Update(3)
	float.Update(0.5)
	histogram := metrics.NewHistogram(metrics.NewUniformSample(10))
	for i := range int64(3) {
		histogram.Update(i + 1)
	}
	counter := metrics.NewCounter()
	counter.Inc(7)
	cases := []struct {
		name string
		m    any
		want string
	}{
		{"a counter", counter, "# TYPE n counter\nn 7\n"},
		{"a gauge", gauge, "# TYPE n gauge\nn 3\n"},
		{"a float gauge", float, "# TYPE n gauge\nn 0.5\n"},
		{"a histogram", histogram, "# TYPE n summary\nn{quantile=\"0.5\"} 2\nn{quantile=\"0.95\"} 3\nn{quantile=\"0.99\"} 3\nn_sum 6\nn_count 3\n"},
	}
	for _, c := range cases {
		Convey("Prometheus text of "+c.name, t, func() {
			var out bytes.Buffer
			writeMetric(&out, "n", c.m)
			So(out.String(), ShouldEqual, c.want)
		})
	}
	Convey("metrics with a label are sorted and quoted", t, func() {
		var out bytes.Buffer
		WriteLabeled(&out, "n", "gauge", "service", map[string]float64{"b": 1.5, "a\"": 1})
		So(out.String(), ShouldEqual, "# TYPE vanillaroad_n gauge\nvanillaroad_n{service=\"a\\\"\"} 1\nvanillaroad_n{service=\"b\"} 1.5\n")
	})
	Convey("metric names contain no characters that Prometheus rejects", t, func() {
		So(metricName("platform.calls-a/b"), ShouldEqual, "vanillaroad_platform_calls_a_b")
	})
}
