package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/vm"
)

// slopeTime is the time over which messages are counted.
const slopeTime = 2 * wholeEvery

var slopeStart = time.Unix(1_764_820_000, 0)

// BenchmarkSlopeShare gives the bytes of load reports that one VM gets in a
// second from the others, with 600 engines.
func BenchmarkSlopeShare(b *testing.B) {
	for _, vms := range []int{8, 85, 340} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			var messages, bytes int
			for range b.N {
				messages, bytes = sharesASecond(b, vms)
			}
			b.ReportMetric(float64(messages), "messages/s")
			b.ReportMetric(float64(bytes), "B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func sharesASecond(b *testing.B, vms int) (messages, bytes int) {
	b.Helper()
	var live []vm.Member
	for i := range vms {
		live = append(live, vm.Member{ID: fmt.Sprintf("vm-%03d", i)})
	}
	readers := map[string][]State{}
	for i := range 600 {
		name := fmt.Sprintf("engine-%03d", i)
		reader := Reader(live, name)
		readers[reader] = append(readers[reader], State{
			Target: &config.Target{Name: name}, At: slopeStart.Add(-40 * time.Millisecond), Report: Report{
				Incarnation: "1764820000", Weights: "v1", Queued: 3, Running: 20, Pending: 40_000,
				PrefillRate: 20_000, Evictions: 70, CachePieces: 48_000, Taken: slopeStart,
				Models: []Loaded{{Model: "kuroko", Version: "v1", Adapters: []string{"box-office"}}},
			},
		})
	}
	for _, states := range readers {
		told := map[string]shared{}
		for at := time.Duration(0); at < slopeTime; at += shareEvery {
			data, err := cbor.Marshal(newStates(states, told, slopeStart.Add(at)))
			must.NoError(b, err)
			messages++
			bytes += len(data)
		}
	}
	return messages / int(slopeTime.Seconds()), bytes / int(slopeTime.Seconds())
}
