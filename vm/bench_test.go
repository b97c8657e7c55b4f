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
	// callOverhead is the bytes of one call above its messages, which
	// BenchmarkMeasureCall of package peer reports.
	callOverhead = 135
	// headerBytes is four TCP/IP headers: request, response and their
	// acknowledgements.
	headerBytes = 160
)

// sizes are the numbers of VMs that are measured.
var sizes = []int{9, 85, 340}

// inVirtualTime runs f once in virtual time, which needs a testing.T.
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

// latency is a millisecond within a region and thirty between regions.
func latency(from, to string) time.Duration {
	var a, b int
	_, _ = fmt.Sscanf(from, "vm-%d", &a)
	_, _ = fmt.Sscanf(to, "vm-%d", &b)
	if a%2 == b%2 {
		return time.Millisecond
	}
	return 30 * time.Millisecond
}

// took returns how long it takes until something holds.
func (f *fleet) took(limit time.Duration, holds func() bool) float64 {
	start := time.Now()
	for !holds() && time.Since(start) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start).Seconds()
}

// bytes returns what all VMs sent and received, with the overhead of calls.
func (f *fleet) bytes() int64 {
	var sum int64
	for _, n := range f.nodes {
		t := n.port.Traffic()
		sum += t.Sent + t.Received + (t.Calls+t.Served)*(callOverhead+headerBytes)
	}
	return sum
}

// rate returns the bytes a second of one VM over a time.
func (f *fleet) rate(during time.Duration) float64 {
	before := f.bytes()
	time.Sleep(during)
	return float64(f.bytes()-before) / during.Seconds() / float64(len(f.nodes))
}

// BenchmarkMeasureMembership reports, in virtual seconds: until all VMs of a
// herd know each other, until all take a crashed VM down, and until all know of
// a drain; the bytes a second of one VM at rest; and the wrong suspicions in a
// minute in which one way in a hundred is broken.
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
	b.ReportMetric(f.took(time.Minute, func() bool { return complete(f.nodes) }), "herd-s")
	b.ReportMetric(f.rate(20*time.Second), "after-herd-B/s/VM")
	time.Sleep(20 * time.Second)
	b.ReportMetric(f.rate(30*time.Second), "B/s/VM")
	drained := f.nodes[2]
	drained.SetState(StateDraining)
	b.ReportMetric(f.took(time.Minute, func() bool {
		for _, n := range f.nodes {
			if !n.Leaving(drained.self.ID) {
				return false
			}
		}
		return true
	}), "drain-s")
	f.breakWays(100)
	wrong := map[[2]string]bool{}
	for range 60 {
		time.Sleep(time.Second)
		f.suspicions(wrong)
	}
	b.ReportMetric(float64(len(wrong)), "wrong-suspicions")
	dead := f.nodes[1]
	f.kill(dead)
	f.nodes = append(f.nodes[:1:1], f.nodes[2:]...)
	b.ReportMetric(f.took(time.Minute, func() bool { return sees(f.nodes, dead, false) }), "crash-s")
}

// apartTime is how long regions are apart in BenchmarkMeasureRegionsApart.
const apartTime = 10 * time.Minute

// BenchmarkMeasureRegionsApart reports what two regions that lose each other
// spend: until each has taken the other down, the bytes a second of one VM
// meanwhile, and until all VMs see each other again, with the bytes of that.
func BenchmarkMeasureRegionsApart(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			inVirtualTime(b, func(t *testing.T) {
				f := newFleet(t, size)
				defer f.close()
				f.net.SetLatency(latency)
				f.took(time.Minute, func() bool { return complete(f.nodes) })
				time.Sleep(20 * time.Second)
				f.eachWay(f.net.Disconnect)
				b.ReportMetric(f.took(time.Minute, func() bool { return f.apart() }), "apart-s")
				b.ReportMetric(f.rate(apartTime), "apart-B/s/VM")
				f.eachWay(f.net.Heal)
				b.ReportMetric(f.took(5*time.Minute, func() bool { return complete(f.nodes) }), "together-s")
				b.ReportMetric(f.rate(20*time.Second), "after-B/s/VM")
			})
		})
	}
}

// eachWay does something to each pair of VMs of different regions.
func (f *fleet) eachWay(do func(a, b string)) {
	for i, a := range f.nodes {
		for _, o := range f.nodes[i+1:] {
			if latency(a.self.ID, o.self.ID) > time.Millisecond {
				do(a.self.ID, o.self.ID)
			}
		}
	}
}

// apart tells whether every VM has taken all VMs of the other region down.
func (f *fleet) apart() bool {
	for _, n := range f.nodes {
		for _, m := range n.Live() {
			if latency(n.self.ID, m.ID) > time.Millisecond {
				return false
			}
		}
	}
	return true
}

// breakWays silences one pair of VMs in n.
func (f *fleet) breakWays(n int) {
	rng := rand.New(rand.NewPCG(seed.Value(), 7))
	for i, a := range f.nodes {
		for _, o := range f.nodes[i+1:] {
			if rng.IntN(n) == 0 {
				f.net.DropMessages(a.self.ID, o.self.ID)
			}
		}
	}
}

// suspicions adds the pairs of a VM and another that it takes down wrongly.
func (f *fleet) suspicions(wrong map[[2]string]bool) {
	for _, n := range f.nodes {
		for id, u := range n.view.Load().others {
			if u.Health != Alive {
				wrong[[2]string{n.self.ID, id}] = true
			}
		}
	}
}

// BenchmarkSlopeTick reports the time of one period's work and the memory of
// the state, by the number of VMs.
func BenchmarkSlopeTick(b *testing.B) {
	for _, size := range []int{8, 85, 340} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			build := func() *members {
				m := newMembers(record("a", 1), 1)
				for i := range size - 1 {
					m.apply(Update{Member: record(fmt.Sprintf("vm-%03d", i), 1)}, start)
				}
				return m
			}
			var before, after runtime.MemStats
			const copies = 50
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := make([]*members, copies)
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
				m.answer(fmt.Sprintf("vm-%03d", i%max(size-1, 1)), Probe{RecordVersion: RecordVersion{Incarnation: 1}}, start)
				task.publish(m)
				i++
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/copies, "state-B")
			runtime.KeepAlive(kept)
		})
	}
}
