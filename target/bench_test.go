package target

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/vm"
)

// shareDuration is the time over which messages are counted.
const shareDuration = 2 * fullShareInterval

var benchStart = time.Unix(1_764_820_000, 0)

// BenchmarkSlopeShare reports the messages and bytes of load reports that
// one VM receives per second from the others, with 600 engines.
func BenchmarkSlopeShare(b *testing.B) {
	for _, vms := range []int{8, 85, 340} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			var messages, bytes int
			for range b.N {
				messages, bytes = sharesPerSecond(b, vms)
			}
			b.ReportMetric(float64(messages), "messages/s")
			b.ReportMetric(float64(bytes), "B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func sharesPerSecond(b *testing.B, vms int) (messages, bytes int) {
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
			Target: &config.Target{Name: name}, ReportedAt: benchStart.Add(-40 * time.Millisecond), Report: Report{
				Incarnation: "1764820000", Weights: "v1", Queued: 3, Running: 20, PendingTokens: 40_000,
				PrefillRate: 20_000, EvictionRate: 70, CachePieces: 48_000, TakenAt: benchStart,
				Models: []Loaded{{Model: "kuroko", Version: "v1", Adapters: []string{"box-office"}}},
			},
		})
	}
	for _, states := range readers {
		last := map[string]lastShare{}
		for at := time.Duration(0); at < shareDuration; at += shareInterval {
			data, err := cbor.Marshal(newStatesUpdate(states, last, benchStart.Add(at)))
			must.NoError(b, err)
			messages++
			bytes += len(data)
		}
	}
	return messages / int(shareDuration.Seconds()), bytes / int(shareDuration.Seconds())
}

// BenchmarkSlopeEvent reports the time to parse an event of growing size.
func BenchmarkSlopeEvent(b *testing.B) {
	for _, pieces := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(pieces), func(b *testing.B) {
			ev := CacheEvent{Sequence: 1, Incarnation: "1764820000", Weights: "v1", Kind: EventStored}
			for i := range pieces {
				ev.Pieces = append(ev.Pieces, uint64(i+1)*0x9e3779b97f4a7c15)
			}
			line, err := json.Marshal(ev)
			must.NoError(b, err)
			for b.Loop() {
				_, _, err = ParseEvent(line)
			}
			must.NoError(b, err)
		})
	}
}

// fixedRoster is a roster whose VMs never change.
type fixedRoster struct {
	vm.Roster
	live []vm.Member
}

func (r fixedRoster) Live() []vm.Member { return r.live }

// emptyLoads is a Client whose targets return empty reports.
type emptyLoads struct{ Client }

func (emptyLoads) Load(context.Context, string) (Report, error) { return Report{}, nil }

// BenchmarkSlopeTick reports the time of one tick of a Fleet. There are
// twenty ticks per second.
func BenchmarkSlopeTick(b *testing.B) {
	for _, size := range []struct{ vms, engines int }{{8, 13}, {85, 150}, {340, 600}} {
		b.Run(fmt.Sprintf("%d-%d", size.vms, size.engines), func(b *testing.B) {
			cfg := &config.Config{Version: 1}
			for i := range size.engines {
				cfg.Targets = append(cfg.Targets, config.Target{Name: fmt.Sprintf("engine-%03d", i), Pool: fmt.Sprint(i % 4)})
			}
			view := config.NewView(cfg)
			r := fixedRoster{}
			for i := range size.vms {
				r.live = append(r.live, vm.Member{ID: fmt.Sprintf("vm-%03d", i)})
			}
			f := NewFleet(Options{Client: emptyLoads{}, Config: func() *config.View { return view }, Roster: r, Self: "vm-000"})
			ctx, cancel := context.WithCancel(b.Context())
			cancel()
			now := benchStart
			for b.Loop() {
				f.tick(ctx, now)
				for name, record := range f.records {
					record.polling = false
					f.storeReport(name, Report{Incarnation: "i"}, now, now)
				}
				now = now.Add(fleetTick)
			}
		})
	}
}
