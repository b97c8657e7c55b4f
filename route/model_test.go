package route_test

import (
	"fmt"
	"testing"

	"github.com/baobabdyke/baobabdyke/internal/model"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/internal/workload"
)

// BenchmarkRouting reports the figures of the traffic model for each load, fault
// and way of routing.
func BenchmarkRouting(b *testing.B) {
	for _, l := range workload.Loads() {
		for _, fault := range model.Faults() {
			for _, way := range model.Policies() {
				b.Run(fmt.Sprintf("%s/%s/%s", l.Name, fault, way), func(b *testing.B) {
					var r model.Result
					for range b.N {
						r = model.NewTrial(l, way, fault, seed.Value()).Run()
					}
					reportFigures(b, r)
				})
			}
		}
	}
}

func reportFigures(b *testing.B, r model.Result) {
	b.Helper()
	b.ReportMetric(0, "ns/op")
	for _, f := range r.Metrics() {
		b.ReportMetric(f.Value, f.Unit)
	}
}
