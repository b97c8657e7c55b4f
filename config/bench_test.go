package config

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// callOverhead is the bytes of one call above its messages, which
	// BenchmarkMeasureCall of package peer reports.
	callOverhead = 135
	// headerBytes is four TCP/IP headers: request, response and their
	// acknowledgements.
	headerBytes = 160
	// pollBaseline is the period of the baseline that only polls.
	pollBaseline = 5 * time.Second
)

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

// A way is one manner of bringing a version to all VMs.
type way struct {
	name   string
	start  func(t testing.TB, n int) (*cluster, func())
	submit func(c *cluster, p Patch) int64
}

// ways are the chosen way, with and without the help of the writer and of the
// watches, and two baselines.
var ways = []way{
	{"push", startFleet(false), func(c *cluster, p Patch) int64 { return c.submit(c.nodes[1], p) }},
	{"writer-lost", startFleet(false), (*cluster).outsider},
	{"writer-lost-watches-silent", startFleet(true), (*cluster).outsider},
	{"watch-per-vm", startBaseline(watchAll), (*cluster).outsider},
	{"poll-only", startBaseline(pollAll), (*cluster).outsider},
}

// latency is a millisecond within a region and thirty between regions.
func latency(from, to string) time.Duration {
	var a, b int
	_, _ = fmt.Sscanf(from, "vm-%d", &a)
	_, _ = fmt.Sscanf(to, "vm-%d", &b)
	if a%4/2 == b%4/2 {
		return time.Millisecond
	}
	return 30 * time.Millisecond
}

func startFleet(silent bool) func(testing.TB, int) (*cluster, func()) {
	return func(t testing.TB, n int) (*cluster, func()) {
		c := newCluster(t, n)
		c.net.SetLatency(latency)
		c.store.set(func(f *faulty) { f.slow, f.silent = 3*time.Millisecond, silent })
		return c, c.close
	}
}

// startBaseline starts VMs that know no others and follow the store alone.
func startBaseline(follow func(context.Context, *Manager)) func(testing.TB, int) (*cluster, func()) {
	return func(t testing.TB, n int) (*cluster, func()) {
		c := &cluster{t: t, net: peer.NewMemory(), store: &faulty{Memory: store.NewMemory(), slow: 3 * time.Millisecond}}
		ctx, cancel := context.WithCancel(context.Background())
		work := &sync.WaitGroup{}
		for i := range n {
			k := NewManager(Options{Store: c.store, Roster: alone{}, Self: "vm", Seed: uint64(i)})
			c.nodes = append(c.nodes, &node{id: fmt.Sprint(i), keeper: k, stop: func() {}, ended: work})
			work.Go(func() { follow(ctx, k) })
		}
		return c, func() {
			cancel()
			c.close()
		}
	}
}

// adoptNewest fetches and publishes what the store has.
func adoptNewest(ctx context.Context, k *Manager, c *core) {
	if f, err := k.fetchNewest(ctx, c.snap); err == nil {
		c.adopt(f.snap, nil)
		k.publish(c)
	}
}

func watchAll(ctx context.Context, k *Manager) {
	c := newCore()
	events, err := k.opts.Store.Watch(ctx, headKey, 0)
	if err != nil {
		return
	}
	for range events {
		adoptNewest(ctx, k, c)
	}
}

func pollAll(ctx context.Context, k *Manager) {
	c := newCore()
	for ctx.Err() == nil {
		adoptNewest(ctx, k, c)
		store.Sleep(ctx, pollBaseline/2+k.jitter(pollBaseline))
	}
}

// calls returns the calls of the store so far.
func (c *cluster) calls() (reads, writes int) {
	c.store.set(func(f *faulty) { reads, writes = f.reads, f.writes })
	return reads, writes
}

// bytes returns what all VMs sent to and received from each other.
func (c *cluster) bytes() int64 {
	var sum int64
	for _, n := range c.nodes {
		if n.port != nil {
			t := n.port.Traffic()
			sum += t.Sent + t.Received + (t.Calls+t.Served)*(callOverhead+headerBytes)
		}
	}
	return sum
}

// reached returns the times until the VMs had the version, sorted.
func (c *cluster) reached(version int64) []time.Duration {
	start := time.Now()
	times := make([]time.Duration, len(c.nodes))
	for missing := len(c.nodes); missing > 0; time.Sleep(time.Millisecond) {
		missing = 0
		for i, n := range c.nodes {
			if n.keeper.Current().Version < version {
				missing++
				times[i] = time.Since(start) + time.Millisecond
			}
		}
	}
	slices.Sort(times)
	return times
}

// BenchmarkMeasureInForce reports, in virtual time, how long an accepted patch
// takes to be in force on the median and on the last VM, the calls of the store
// by the whole fleet at rest and for one patch, and the bytes of one VM.
func BenchmarkMeasureInForce(b *testing.B) {
	for _, w := range ways {
		for _, n := range []int{9, 85, 340} {
			b.Run(fmt.Sprintf("way=%s/vms=%d", w.name, n), func(b *testing.B) {
				inVirtualTime(b, func(t *testing.T) { w.measure(b, t, n) })
			})
		}
	}
}

func (w way) measure(b *testing.B, t *testing.T, n int) {
	c, end := w.start(t, n)
	defer end()
	time.Sleep(12 * time.Second)
	must.Eq(t, 1, c.outsider(Patch{ID: "first", Set: items(sample(100))}))
	c.reached(1)
	time.Sleep(40 * time.Second)

	const rest = 60 * time.Second
	reads, writes := c.calls()
	bytes := c.bytes()
	time.Sleep(rest)
	restReads, restWrites := c.calls()
	b.ReportMetric(float64(restReads-reads)/rest.Seconds(), "reads/s")
	b.ReportMetric(float64(restWrites-writes)/rest.Seconds(), "writes/s")
	b.ReportMetric(float64(c.bytes()-bytes)/rest.Seconds()/float64(n), "B/s/VM")

	const patches = 4
	var median, last time.Duration
	bytes = c.bytes()
	reads, writes = c.calls()
	for i := range int64(patches) {
		times := c.reached(w.submit(c, withdraw(1+i, int(i))))
		median = max(median, times[n/2])
		last = max(last, times[n-1])
	}
	patchReads, patchWrites := c.calls()
	b.ReportMetric(float64(patchReads-reads)/patches, "reads/patch")
	b.ReportMetric(float64(patchWrites-writes)/patches, "writes/patch")
	b.ReportMetric(float64(c.bytes()-bytes)/patches/float64(n), "B/patch/VM")
	b.ReportMetric(float64(median.Milliseconds()), "median-ms")
	b.ReportMetric(float64(last.Milliseconds()), "last-ms")
}

// items returns the items of a configuration.
func items(cfg *Config) Items {
	return Items{Customers: cfg.Customers, Routes: cfg.Routes, Models: cfg.Models, Targets: cfg.Targets}
}

// BenchmarkMeasureHerd restarts all VMs at once and reports the seconds until
// the last has the configuration, and the calls of the store.
func BenchmarkMeasureHerd(b *testing.B) {
	for _, n := range []int{9, 85, 340} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			inVirtualTime(b, func(t *testing.T) {
				c, end := startFleet(false)(t, n)
				defer end()
				time.Sleep(12 * time.Second)
				c.outsider(Patch{ID: "first", Set: items(sample(1000))})
				c.reached(1)
				for _, n := range c.nodes {
					c.kill(n)
				}
				reads, _ := c.calls()
				for _, n := range c.nodes {
					c.start(n, 2)
				}
				times := c.reached(1)
				after, _ := c.calls()
				b.ReportMetric(times[n/2].Seconds(), "median-s")
				b.ReportMetric(times[n-1].Seconds(), "last-s")
				b.ReportMetric(float64(after-reads), "reads")
			})
		})
	}
}

// BenchmarkMeasureCutOff cuts VMs off from the others and from the store, one
// after the other, and reports the seconds until they are not fresh, and until
// they are fresh again after the cut ends.
func BenchmarkMeasureCutOff(b *testing.B) {
	for _, n := range []int{3, 9, 85, 340} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			inVirtualTime(b, func(t *testing.T) {
				c, end := startFleet(false)(t, n)
				defer end()
				time.Sleep(12 * time.Second)
				c.outsider(Patch{ID: "first", Set: items(sample(5))})
				c.reached(1)
				time.Sleep(20 * time.Second)
				var stale, back time.Duration
				for i := range 3 {
					lost := c.nodes[i*(n-1)/2]
					c.cutOff(lost)
					c.store.set(func(f *faulty) { f.hide = lost.id })
					stale = max(stale, c.until(lost, false))
					time.Sleep(20 * time.Second)
					c.heal(lost)
					c.store.set(func(f *faulty) { f.hide = "" })
					back = max(back, c.until(lost, true))
					time.Sleep(20 * time.Second)
				}
				b.ReportMetric(stale.Seconds(), "not-fresh-s")
				b.ReportMetric(back.Seconds(), "fresh-again-s")
			})
		})
	}
}

// until returns how long it takes until a VM is fresh, or not.
func (c *cluster) until(n *node, fresh bool) time.Duration {
	start := time.Now()
	for n.keeper.Fresh() != fresh {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// BenchmarkSlopePatch reports the time of one patch with validation and of its
// replay on another VM, and the memory of a version, by customers.
func BenchmarkSlopePatch(b *testing.B) {
	for _, customers := range []int{5, 1000, 12000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			base, err := newSnapshot(sample(customers), emptySnapshot())
			must.NoError(b, err)
			runtime.GC()
			runtime.ReadMemStats(&after)
			p := withdraw(0, 2)
			var next *snapshot
			for b.Loop() {
				cfg, err := Apply(base.view.Config, p)
				must.NoError(b, err)
				next, err = newSnapshot(cfg, base)
				must.NoError(b, err)
			}
			apply := b.Elapsed() / time.Duration(b.N)
			start := time.Now()
			const replays = 5
			for range replays {
				_, whole := replay(base, []VersionedPatch{{Version: 1, Patch: p, Root: next.root}})
				must.True(b, whole)
			}
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/replays, "replay-ns")
			b.ReportMetric(float64(apply.Nanoseconds()), "ns/op")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-B")
			head := Head{}
			for i := range int64(2 * recentPatches) {
				named := withdraw(i, 2)
				named.ID = "p-" + named.digest()
				head = head.after(named, base.root)
			}
			value, err := encodeHead(head)
			must.NoError(b, err)
			b.ReportMetric(float64(len(value)), "head-B")
			size := 0
			for _, ref := range base.index {
				data, _ := base.encoded(ref.Digest)
				size += len(data)
			}
			b.ReportMetric(float64(size), "chunks-B")
			runtime.KeepAlive(base)
		})
	}
}

// BenchmarkSlopeDecode reports the time to read and validate a whole
// configuration in YAML, by customers.
func BenchmarkSlopeDecode(b *testing.B) {
	for _, customers := range []int{5, 1000, 12000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			data, err := yaml.Marshal(sample(customers))
			must.NoError(b, err)
			for b.Loop() {
				_, err := Decode("c.yaml", data)
				must.NoError(b, err)
			}
			b.ReportMetric(float64(len(data)), "file-B")
		})
	}
}
