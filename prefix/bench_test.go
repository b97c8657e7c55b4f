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
	benchEngines = 12
	benchCopies  = 2
	// benchRun is the number of pieces that one event stores.
	benchRun = 8
	// fleetEngines and fleetEvents are the numbers of engines and of events per
	// second of the largest planned fleet, expected in two years.
	fleetEngines = 600
	fleetEvents  = 42_000
)

// benchEvents returns events that store the given number of pieces, counted once
// per engine. After a random tenth of these events, half of the pieces of the
// event are evicted and stored again.
func benchEvents(rng *rand.Rand, pieces int) []target.CacheEvent {
	var list []target.CacheEvent
	var sequences [benchEngines]uint64
	add := func(engine int, kind string, pieces []uint64) {
		sequences[engine]++
		list = append(list, target.CacheEvent{
			Sequence: sequences[engine], Incarnation: fmt.Sprint(engine), Weights: "w", Kind: kind, Pieces: pieces,
		})
	}
	for n := 0; n < pieces; n += benchCopies * benchRun {
		keys := make([]uint64, benchRun)
		for i := range keys {
			keys[i] = rng.Uint64()
		}
		for range benchCopies {
			engine := rng.IntN(benchEngines)
			add(engine, target.EventStored, keys)
			if rng.IntN(10) == 0 {
				add(engine, target.EventEvicted, keys[benchRun/2:])
				add(engine, target.EventStored, keys[benchRun/2:])
			}
		}
	}
	return list
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSlopeIndex reports the memory per cached entry and the time per event
// for a growing number of entries.
func BenchmarkSlopeIndex(b *testing.B) {
	for _, pieces := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(pieces), func(b *testing.B) {
			events := benchEvents(rand.New(rand.NewPCG(seed.Value(), 3)), pieces)
			var x *prefix.Index
			var grown uint64
			var took time.Duration
			for range b.N {
				before := heapBytes()
				began := time.Now()
				x = prefix.NewIndex(2*pieces, start)
				for _, ev := range events {
					x.Apply(ev.Incarnation, ev, start)
				}
				took += time.Since(began)
				grown = heapBytes() - before
			}
			s := x.Size()
			b.ReportMetric(float64(grown)/float64(s.Cached), "B/entry")
			b.ReportMetric(float64(s.Bytes)/float64(s.Cached), "stated-B/entry")
			b.ReportMetric(float64(took.Nanoseconds())/float64(b.N*len(events)), "ns/event")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkSlopeParts reports the messages and bytes of the Parts that one
// VM receives per second if every event changes one piece.
func BenchmarkSlopeParts(b *testing.B) {
	for _, vms := range []int{8, 85, 340} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			var messages, bytes int
			for range b.N {
				messages, bytes = partsPerSecond(b, vms)
			}
			b.ReportMetric(float64(messages)/float64(vms), "messages/s")
			b.ReportMetric(float64(bytes)/float64(vms), "B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// partsPerSecond returns the number and bytes of the Parts that all VMs send in
// one second. Each reader sends one Part to each replica.
func partsPerSecond(b *testing.B, vms int) (messages, bytes int) {
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
		for _, replica := range placement.Replicas(k.Partition()) {
			l := link{readers[engine], replica.ID}
			if l.from == l.to {
				continue
			}
			if parts[l] == nil {
				parts[l] = map[int]*prefix.EnginePart{}
			}
			p := parts[l][engine]
			if p == nil {
				p = &prefix.EnginePart{
					Engine: fmt.Sprintf("engine-%03d", engine), Incarnation: "1764820000", Weights: "v1", From: 100_000, To: 100_070,
					Changes: []prefix.Change{{Kind: 1}},
				}
				parts[l][engine] = p
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

// BenchmarkSlopeSplit reports the time to split a prompt of growing length.
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
