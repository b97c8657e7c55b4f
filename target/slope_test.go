package target_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/target"
	"github.com/baobabdyke/baobabdyke/vm"
)

// sharesPerSecond is the number of States that a reader sends each VM a second.
const sharesPerSecond = 2

// BenchmarkSlopeShare gives the bytes of load reports that one VM gets in a
// second from the others, with 600 engines.
func BenchmarkSlopeShare(b *testing.B) {
	for _, vms := range []int{8, 85, 340} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			var messages, bytes int
			for range b.N {
				messages, bytes = sharesOfSecond(b, vms)
			}
			b.ReportMetric(float64(messages), "messages/s")
			b.ReportMetric(float64(bytes), "B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func sharesOfSecond(b *testing.B, vms int) (messages, bytes int) {
	b.Helper()
	var live []vm.Member
	for i := range vms {
		live = append(live, vm.Member{ID: fmt.Sprintf("vm-%03d", i)})
	}
	shares := map[string]*target.States{}
	for i := range 600 {
		name := fmt.Sprintf("engine-%03d", i)
		reader := target.Reader(live, name)
		if shares[reader] == nil {
			shares[reader] = &target.States{}
		}
		shares[reader].Reports = append(shares[reader].Reports, target.SharedReport{
			Target: name, Age: 40 * time.Millisecond, Report: target.Report{
				Incarnation: "1764820000", Weights: "v1", Queued: 3, Running: 20, Pending: 40_000,
				PrefillRate: 20_000, Evictions: 70, CachePieces: 48_000, Taken: time.Unix(1_764_820_000, 0),
				Models: []target.Loaded{{Model: "kuroko", Version: "v1", Adapters: []string{"box-office"}}},
			},
		})
	}
	for _, s := range shares {
		data, err := cbor.Marshal(s)
		must.NoError(b, err)
		messages += sharesPerSecond
		bytes += sharesPerSecond * len(data)
	}
	return messages, bytes
}
