package vm

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/seed"
)

const (
	// callOverhead is the number of bytes of one call in addition to its
	// messages, as BenchmarkMeasureCall of package peer reports it.
	callOverhead = 135
	// headerBytes is the size of four TCP/IP headers: request, response and
	// their acknowledgements.
	headerBytes = 160
)

// sizes are the fleet sizes of the benchmarks.
var sizes = []int{9, 85, 340}

// inVirtualTime runs f b.N times in virtual time, which needs a testing.T.
func inVirtualTime(b *testing.B, f func(*testing.T)) {
	b.Helper()
	all := func(string, string) (bool, error) { return true, nil }
	test := testing.InternalTest{Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, f) }}
	for range b.N {
		if !testing.RunTests(all, []testing.InternalTest{test}) {
			b.Fatal("run failed")
		}
	}
	b.ReportMetric(0, "ns/op")
}

// latency returns 1 ms within a region and 30 ms between regions.
func latency(from, to string) time.Duration {
	var a, b int
	_, _ = fmt.Sscanf(from, "vm-%d", &a)
	_, _ = fmt.Sscanf(to, "vm-%d", &b)
	if a%2 == b%2 {
		return time.Millisecond
	}
	return 30 * time.Millisecond
}

// timeUntil returns the seconds until holds returns true, or about timeout if
// it does not.
func (f *fleet) timeUntil(timeout time.Duration, holds func() bool) float64 {
	start := time.Now()
	for !holds() && time.Since(start) < timeout {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start).Seconds()
}

// bytes returns the bytes that all VMs sent and received, with the overhead of
// calls.
func (f *fleet) bytes() int64 {
	var sum int64
	for _, n := range f.nodes {
		t := n.port.Traffic()
		sum += t.Sent + t.Received + (t.Calls+t.Served)*(callOverhead+headerBytes)
	}
	return sum
}

// bytesPerSecond returns the average traffic of one VM over a duration.
func (f *fleet) bytesPerSecond(during time.Duration) float64 {
	before := f.bytes()
	time.Sleep(during)
	return float64(f.bytes()-before) / during.Seconds() / float64(len(f.nodes))
}

// BenchmarkMeasureMembership reports, in virtual time: the seconds until all
// VMs that start at once see each other, until all set a crashed VM to Down, and
// until all see a draining VM; the bytes a second of one VM in the steady state;
// and the false suspicions in a minute in which one link in a hundred drops all
// messages.
func BenchmarkMeasureMembership(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			inVirtualTime(b, func(t *testing.T) { measure(b, newFleet(t, size)) })
		})
	}
}

func measure(b *testing.B, f *fleet) {
	defer f.close()
	f.net.SetLatency(latency)
	b.ReportMetric(f.timeUntil(time.Minute, func() bool { return allSeeAll(f.nodes) }), "herd-s")
	b.ReportMetric(f.bytesPerSecond(20*time.Second), "after-herd-B/s/VM")
	time.Sleep(20 * time.Second)
	b.ReportMetric(f.bytesPerSecond(30*time.Second), "B/s/VM")
	drained := f.nodes[2]
	drained.SetState(StateDraining)
	b.ReportMetric(f.timeUntil(time.Minute, func() bool {
		for _, n := range f.nodes {
			if !n.Leaving(drained.self.ID) {
				return false
			}
		}
		return true
	}), "drain-s")
	f.breakLinks(100)
	wrong := map[[2]string]bool{}
	for range 60 {
		time.Sleep(time.Second)
		f.collectSuspicions(wrong)
	}
	b.ReportMetric(float64(len(wrong)), "wrong-suspicions")
	dead := f.nodes[1]
	f.kill(dead)
	f.nodes = append(f.nodes[:1:1], f.nodes[2:]...)
	b.ReportMetric(f.timeUntil(time.Minute, func() bool { return allSee(f.nodes, dead, false) }), "crash-s")
}

// partitionTime is the length of the partition in
// BenchmarkMeasureRegionPartition.
const partitionTime = 10 * time.Minute

// BenchmarkMeasureRegionPartition reports the cost of a partition between two
// regions: the seconds until each has set the other's VMs to Down, the bytes a
// second of one VM during the partition, the seconds until all VMs see each
// other again, and the bytes a second after that.
func BenchmarkMeasureRegionPartition(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			inVirtualTime(b, func(t *testing.T) {
				f := newFleet(t, size)
				defer f.close()
				f.net.SetLatency(latency)
				f.timeUntil(time.Minute, func() bool { return allSeeAll(f.nodes) })
				time.Sleep(20 * time.Second)
				f.eachRemotePair(f.net.Disconnect)
				b.ReportMetric(f.timeUntil(time.Minute, func() bool { return f.isPartitioned() }), "apart-s")
				b.ReportMetric(f.bytesPerSecond(partitionTime), "apart-B/s/VM")
				f.eachRemotePair(f.net.Heal)
				b.ReportMetric(f.timeUntil(5*time.Minute, func() bool { return allSeeAll(f.nodes) }), "together-s")
				b.ReportMetric(f.bytesPerSecond(20*time.Second), "after-B/s/VM")
			})
		})
	}
}

// eachRemotePair calls do for each pair of VMs of different regions.
func (f *fleet) eachRemotePair(do func(a, b string)) {
	for i, a := range f.nodes {
		for _, o := range f.nodes[i+1:] {
			if latency(a.self.ID, o.self.ID) > time.Millisecond {
				do(a.self.ID, o.self.ID)
			}
		}
	}
}

// isPartitioned reports whether every VM has set all VMs of the other region to
// Down.
func (f *fleet) isPartitioned() bool {
	for _, n := range f.nodes {
		for _, m := range n.Live() {
			if latency(n.self.ID, m.ID) > time.Millisecond {
				return false
			}
		}
	}
	return true
}

// breakLinks makes about one link in n drop all messages.
func (f *fleet) breakLinks(n int) {
	rng := rand.New(rand.NewPCG(seed.Value(), 7))
	for i, a := range f.nodes {
		for _, o := range f.nodes[i+1:] {
			if rng.IntN(n) == 0 {
				f.net.DropMessages(a.self.ID, o.self.ID)
			}
		}
	}
}

// collectSuspicions adds the pairs of a VM and another one that it falsely holds
// Suspect or Down.
func (f *fleet) collectSuspicions(wrong map[[2]string]bool) {
	for _, n := range f.nodes {
		for id, u := range n.view.Load().others {
			if u.Health != Alive {
				wrong[[2]string{n.self.ID, id}] = true
			}
		}
	}
}

// BenchmarkSlopeTick reports the time of the work of one probe period and the
// memory of the state, by the number of VMs.
func BenchmarkSlopeTick(b *testing.B) {
	for _, size := range []int{8, 85, 340} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			build := func() *membership {
				m := newMembership(record("a", 1), 1)
				for i := range size - 1 {
					m.apply(Update{Member: record(fmt.Sprintf("vm-%03d", i), 1)}, start)
				}
				return m
			}
			var before, after runtime.MemStats
			const copies = 50
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := make([]*membership, copies)
			for i := range kept {
				kept[i] = build()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			m := kept[0]
			task := NewTask(Options{Self: m.self})
			i := 0
			for b.Loop() {
				m.tick(start)
				m.handleProbe(fmt.Sprintf("vm-%03d", i%max(size-1, 1)), Probe{RecordVersion: RecordVersion{Incarnation: 1}}, start)
				task.publish(m)
				i++
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/copies, "state-B")
			runtime.KeepAlive(kept)
		})
	}
}
