package route_test

import (
	"fmt"
	"testing"

	"github.com/baobabdyke/baobabdyke/internal/model"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/internal/workload"
)

// BenchmarkMeasureRouting reports the metrics of the traffic model for each load, fault
// and routing policy.
func BenchmarkMeasureRouting(b *testing.B) {
	for _, l := range workload.Loads() {
		for _, fault := range model.Faults() {
			for _, policy := range model.Policies() {
				b.Run(fmt.Sprintf("%s/%s/%s", l.Name, fault, policy), func(b *testing.B) {
					var r model.Result
					for range b.N {
						r = model.NewTrial(l, policy, fault, seed.Value()).Run()
					}
					reportMetrics(b, r)
				})
			}
		}
	}
}

func reportMetrics(b *testing.B, r model.Result) {
	b.Helper()
	b.ReportMetric(0, "ns/op")
	for _, m := range r.Metrics() {
		b.ReportMetric(m.Value, m.Unit)
	}
}
