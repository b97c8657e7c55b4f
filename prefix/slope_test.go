package prefix_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	slopeEngines = 12
	slopeCopies  = 2
	// slopeRun is the number of pieces that one event stores.
	slopeRun = 8
	// fleetEngines and fleetEvents are those of the two-year size.
	fleetEngines = 600
	fleetEvents  = 42_000
)

// slopeEvents returns the events that store blocks cached pieces, and evict and
// store a tenth of them again.
func slopeEvents(rng *rand.Rand, blocks int) []target.CacheEvent {
	var list []target.CacheEvent
	var sequences [slopeEngines]uint64
	add := func(engine int, kind string, pieces []uint64) {
		sequences[engine]++
		list = append(list, target.CacheEvent{
			Sequence: sequences[engine], Incarnation: fmt.Sprint(engine), Weights: "w", Kind: kind, Pieces: pieces,
		})
	}
	for n := 0; n < blocks; n += slopeCopies * slopeRun {
		pieces := make([]uint64, slopeRun)
		for i := range pieces {
			pieces[i] = rng.Uint64()
		}
		for range slopeCopies {
			engine := rng.IntN(slopeEngines)
			add(engine, target.EventStored, pieces)
			if rng.IntN(10) == 0 {
				add(engine, target.EventEvicted, pieces[slopeRun/2:])
				add(engine, target.EventStored, pieces[slopeRun/2:])
			}
		}
	}
	return list
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSlopeIndex gives the memory of a cached entry and the time of an
// event for growing indexes.
func BenchmarkSlopeIndex(b *testing.B) {
	for _, blocks := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			events := slopeEvents(rand.New(rand.NewPCG(seed.Value(), 3)), blocks)
			var x *prefix.Index
			var grown uint64
			var took time.Duration
			for range b.N {
				before := heap()
				begun := time.Now()
				x = prefix.NewIndex(2*blocks, start)
				for _, ev := range events {
					x.Apply(ev.Incarnation, ev, start)
				}
				took += time.Since(begun)
				grown = heap() - before
			}
			s := x.Size()
			b.ReportMetric(float64(grown)/float64(s.Cached), "B/entry")
			b.ReportMetric(float64(s.Bytes)/float64(s.Cached), "stated-B/entry")
			b.ReportMetric(float64(took.Nanoseconds())/float64(b.N*len(events)), "ns/event")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkSlopeParts gives the messages and bytes of Parts that one VM gets in
// a second, when every event changes one piece.
func BenchmarkSlopeParts(b *testing.B) {
	for _, vms := range []int{8, 85, 340} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			var messages, bytes int
			for range b.N {
				messages, bytes = partsOfSecond(b, vms)
			}
			b.ReportMetric(float64(messages)/float64(vms), "messages/s")
			b.ReportMetric(float64(bytes)/float64(vms), "B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// partsOfSecond counts the Parts of one second over all VMs: each reader sends
// each home one.
func partsOfSecond(b *testing.B, vms int) (messages, bytes int) {
	b.Helper()
	rng := rand.New(rand.NewPCG(seed.Value(), 4))
	var live []vm.Member
	for i := range vms {
		live = append(live, vm.Member{ID: fmt.Sprintf("vm-%03d", i)})
	}
	placement := prefix.NewPlacement(live)
	readers := make([]string, fleetEngines)
	for i := range readers {
		readers[i] = target.Reader(live, fmt.Sprintf("engine-%03d", i))
	}
	type link struct{ from, to string }
	parts := map[link]map[int]*prefix.EnginePart{}
	for range fleetEvents {
		engine, k := rng.IntN(fleetEngines), prefix.Key(rng.Uint64())
		for _, home := range placement.Replicas(k.Partition()) {
			at := link{readers[engine], home.ID}
			if at.from == at.to {
				continue
			}
			if parts[at] == nil {
				parts[at] = map[int]*prefix.EnginePart{}
			}
			p := parts[at][engine]
			if p == nil {
				p = &prefix.EnginePart{
					Engine: fmt.Sprintf("engine-%03d", engine), Incarnation: "1764820000", Weights: "v1", From: 100_000, To: 100_070,
					Changes: []prefix.Change{{Kind: 1}},
				}
				parts[at][engine] = p
			}
			p.Changes[0].Pieces = append(p.Changes[0].Pieces, uint64(k))
		}
	}
	for _, engines := range parts {
		var message prefix.Part
		for _, p := range engines {
			message.Engines = append(message.Engines, *p)
		}
		data, err := cbor.Marshal(message)
		must.NoError(b, err)
		messages++
		bytes += len(data)
	}
	return messages, bytes
}

// BenchmarkSlopeSplit gives the time to cut a prompt of growing length.
func BenchmarkSlopeSplit(b *testing.B) {
	for _, pieces := range []int{1, 10, 60} {
		b.Run(fmt.Sprint(pieces), func(b *testing.B) {
			prompt := make([]byte, pieces*8192)
			b.SetBytes(int64(len(prompt)))
			for b.Loop() {
				prefix.Split(prefix.Salt{Customer: "a"}, prompt, 8192)
			}
		})
	}
}
