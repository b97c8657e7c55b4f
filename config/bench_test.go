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
	// callOverheadBytes is the overhead of one call in addition to its
	// messages, as reported by BenchmarkMeasureCall of package peer.
	callOverheadBytes = 135
	// tcpHeaderBytes is the size of four TCP/IP headers: those of the request,
	// the response and their acknowledgements.
	tcpHeaderBytes = 160
	// baselinePollInterval is the poll interval of the baseline that only
	// polls.
	baselinePollInterval = 5 * time.Second
)

// inVirtualTime runs f in virtual time, which requires a testing.T, once for
// each iteration of the benchmark.
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

// A strategy is one method to distribute a new version to all VMs.
type strategy struct {
	name   string
	start  func(t testing.TB, n int) (*cluster, func())
	submit func(c *cluster, p Patch) int64
}

// strategies are the implemented method (with pushes, without the committing
// VM, and also without watch events) and two baselines.
var strategies = []strategy{
	{"push", startFleet(false), func(c *cluster, p Patch) int64 { return c.submit(c.nodes[1], p) }},
	{"writer-lost", startFleet(false), (*cluster).submitExternally},
	{"writer-lost-watches-silent", startFleet(true), (*cluster).submitExternally},
	{"watch-per-vm", startBaseline(watchAll), (*cluster).submitExternally},
	{"poll-only", startBaseline(pollAll), (*cluster).submitExternally},
}

// latency returns the network latency between two VMs: 1 ms within a region,
// 30 ms between regions.
func latency(from, to string) time.Duration {
	var a, b int
	_, _ = fmt.Sscanf(from, "vm-%d", &a)
	_, _ = fmt.Sscanf(to, "vm-%d", &b)
	if a%4/2 == b%4/2 {
		return time.Millisecond
	}
	return 30 * time.Millisecond
}

func startFleet(watchesSilent bool) func(testing.TB, int) (*cluster, func()) {
	return func(t testing.TB, n int) (*cluster, func()) {
		c := newCluster(t, n)
		c.net.SetLatency(latency)
		c.store.configure(func(f *faultyStore) { f.latency, f.watchesSilent = 3*time.Millisecond, watchesSilent })
		return c, c.close
	}
}

// startBaseline starts VMs that have no other members and get versions from
// the store only.
func startBaseline(follow func(context.Context, *Manager)) func(testing.TB, int) (*cluster, func()) {
	return func(t testing.TB, n int) (*cluster, func()) {
		c := &cluster{t: t, net: peer.NewMemory(), store: &faultyStore{Memory: store.NewMemory(), latency: 3 * time.Millisecond}}
		ctx, cancel := context.WithCancel(context.Background())
		work := &sync.WaitGroup{}
		for i := range n {
			m := NewManager(Options{Store: c.store, Roster: singleVMRoster{}, Self: "vm", Seed: uint64(i)})
			c.nodes = append(c.nodes, &node{id: fmt.Sprint(i), manager: m, stop: func() {}, done: work})
			work.Go(func() { follow(ctx, m) })
		}
		return c, func() {
			cancel()
			c.close()
		}
	}
}

// adoptNewest fetches the newest version from the store and publishes it.
func adoptNewest(ctx context.Context, m *Manager, c *core) {
	if f, err := m.fetchNewest(ctx, c.snap); err == nil {
		c.adopt(f.snap, nil)
		m.publish(c)
	}
}

func watchAll(ctx context.Context, m *Manager) {
	c := newCore()
	events, err := m.opts.Store.Watch(ctx, headKey, 0)
	if err != nil {
		return
	}
	for range events {
		adoptNewest(ctx, m, c)
	}
}

func pollAll(ctx context.Context, m *Manager) {
	c := newCore()
	for ctx.Err() == nil {
		adoptNewest(ctx, m, c)
		store.Sleep(ctx, baselinePollInterval/2+m.jitter(baselinePollInterval))
	}
}

// storeCalls returns the number of calls to the store so far.
func (c *cluster) storeCalls() (reads, writes int) {
	c.store.configure(func(f *faultyStore) { reads, writes = f.reads, f.writes })
	return reads, writes
}

// peerBytes returns the bytes that all VMs have sent to and received from each
// other.
func (c *cluster) peerBytes() int64 {
	var sum int64
	for _, n := range c.nodes {
		if n.port != nil {
			t := n.port.Traffic()
			sum += t.Sent + t.Received + (t.Calls+t.Served)*(callOverheadBytes+tcpHeaderBytes)
		}
	}
	return sum
}

// adoptionTimes returns the sorted times until each VM had the version in
// force.
func (c *cluster) adoptionTimes(version int64) []time.Duration {
	start := time.Now()
	times := make([]time.Duration, len(c.nodes))
	for missing := len(c.nodes); missing > 0; time.Sleep(time.Millisecond) {
		missing = 0
		for i, n := range c.nodes {
			if n.manager.Current().Version < version {
				missing++
				times[i] = time.Since(start) + time.Millisecond
			}
		}
	}
	slices.Sort(times)
	return times
}

// BenchmarkMeasureInForce reports in virtual time how long an accepted patch
// takes to be in force on the median VM and on the last VM, the calls that the
// whole fleet makes to the store when idle and for each patch, and the bytes
// that one VM transfers.
func BenchmarkMeasureInForce(b *testing.B) {
	for _, s := range strategies {
		for _, n := range []int{9, 85, 340} {
			b.Run(fmt.Sprintf("way=%s/vms=%d", s.name, n), func(b *testing.B) {
				inVirtualTime(b, func(t *testing.T) { s.measure(b, t, n) })
			})
		}
	}
}

func (s strategy) measure(b *testing.B, t *testing.T, n int) {
	c, stop := s.start(t, n)
	defer stop()
	time.Sleep(12 * time.Second)
	must.Eq(t, 1, c.submitExternally(Patch{ID: "first", Set: itemsOf(sampleConfig(100))}))
	c.adoptionTimes(1)
	time.Sleep(40 * time.Second)

	const idleTime = 60 * time.Second
	reads, writes := c.storeCalls()
	bytes := c.peerBytes()
	time.Sleep(idleTime)
	idleReads, idleWrites := c.storeCalls()
	b.ReportMetric(float64(idleReads-reads)/idleTime.Seconds(), "reads/s")
	b.ReportMetric(float64(idleWrites-writes)/idleTime.Seconds(), "writes/s")
	b.ReportMetric(float64(c.peerBytes()-bytes)/idleTime.Seconds()/float64(n), "B/s/VM")

	const patches = 4
	var median, last time.Duration
	bytes = c.peerBytes()
	reads, writes = c.storeCalls()
	for i := range int64(patches) {
		times := c.adoptionTimes(s.submit(c, withdrawalPatch(1+i, int(i))))
		median = max(median, times[n/2])
		last = max(last, times[n-1])
	}
	patchReads, patchWrites := c.storeCalls()
	b.ReportMetric(float64(patchReads-reads)/patches, "reads/patch")
	b.ReportMetric(float64(patchWrites-writes)/patches, "writes/patch")
	b.ReportMetric(float64(c.peerBytes()-bytes)/patches/float64(n), "B/patch/VM")
	b.ReportMetric(float64(median.Milliseconds()), "median-ms")
	b.ReportMetric(float64(last.Milliseconds()), "last-ms")
}

// itemsOf returns the items of a configuration.
func itemsOf(cfg *Config) Items {
	return Items{Customers: cfg.Customers, Routes: cfg.Routes, Models: cfg.Models, Targets: cfg.Targets}
}

// BenchmarkMeasureHerd restarts all VMs at the same time. It reports the
// seconds until the median and the last VM have the configuration, and the
// reads from the store.
func BenchmarkMeasureHerd(b *testing.B) {
	for _, n := range []int{9, 85, 340} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			inVirtualTime(b, func(t *testing.T) {
				c, stop := startFleet(false)(t, n)
				defer stop()
				time.Sleep(12 * time.Second)
				c.submitExternally(Patch{ID: "first", Set: itemsOf(sampleConfig(1000))})
				c.adoptionTimes(1)
				for _, n := range c.nodes {
					c.kill(n)
				}
				reads, _ := c.storeCalls()
				for _, n := range c.nodes {
					c.start(n, 2)
				}
				times := c.adoptionTimes(1)
				after, _ := c.storeCalls()
				b.ReportMetric(times[n/2].Seconds(), "median-s")
				b.ReportMetric(times[n-1].Seconds(), "last-s")
				b.ReportMetric(float64(after-reads), "reads")
			})
		})
	}
}

// BenchmarkMeasureCutOff isolates VMs from the others and from the store, one
// at a time. It reports the seconds until the VM is not fresh, and until it is
// fresh again after it is reconnected.
func BenchmarkMeasureCutOff(b *testing.B) {
	for _, n := range []int{3, 9, 85, 340} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			inVirtualTime(b, func(t *testing.T) {
				c, stop := startFleet(false)(t, n)
				defer stop()
				time.Sleep(12 * time.Second)
				c.submitExternally(Patch{ID: "first", Set: itemsOf(sampleConfig(5))})
				c.adoptionTimes(1)
				time.Sleep(20 * time.Second)
				var timeToStale, timeToFresh time.Duration
				for i := range 3 {
					isolated := c.nodes[i*(n-1)/2]
					c.isolate(isolated)
					c.store.configure(func(f *faultyStore) { f.hiddenVM = isolated.id })
					timeToStale = max(timeToStale, c.timeUntilFresh(isolated, false))
					time.Sleep(20 * time.Second)
					c.heal(isolated)
					c.store.configure(func(f *faultyStore) { f.hiddenVM = "" })
					timeToFresh = max(timeToFresh, c.timeUntilFresh(isolated, true))
					time.Sleep(20 * time.Second)
				}
				b.ReportMetric(timeToStale.Seconds(), "not-fresh-s")
				b.ReportMetric(timeToFresh.Seconds(), "fresh-again-s")
			})
		})
	}
}

// timeUntilFresh waits until Fresh returns the given value on a VM, and
// returns how long that took.
func (c *cluster) timeUntilFresh(n *node, fresh bool) time.Duration {
	start := time.Now()
	for n.manager.Fresh() != fresh {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// BenchmarkSlopePatch reports the time to validate and apply one patch, the
// time to replay it on another VM, and the memory of a version, as functions
// of the number of customers.
func BenchmarkSlopePatch(b *testing.B) {
	for _, customers := range []int{5, 1000, 12000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			base, err := newSnapshot(sampleConfig(customers), emptySnapshot())
			must.NoError(b, err)
			runtime.GC()
			runtime.ReadMemStats(&after)
			p := withdrawalPatch(0, 2)
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
				_, ok := replay(base, []VersionedPatch{{Version: 1, Patch: p, Root: next.root}})
				must.True(b, ok)
			}
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/replays, "replay-ns")
			b.ReportMetric(float64(apply.Nanoseconds()), "ns/op")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-B")
			head := Head{}
			for i := range int64(2 * maxRecentPatches) {
				patch := withdrawalPatch(i, 2)
				patch.ID = "p-" + patch.digest()
				head = head.withPatch(patch, base.root)
			}
			value, err := encodeHead(head)
			must.NoError(b, err)
			b.ReportMetric(float64(len(value)), "head-B")
			size := 0
			for _, ref := range base.index {
				data, _ := base.encodedChunk(ref.Digest)
				size += len(data)
			}
			b.ReportMetric(float64(size), "chunks-B")
			runtime.KeepAlive(base)
		})
	}
}

// BenchmarkSlopeDecode reports the time to decode and validate a complete
// configuration, as a function of the number of customers.
func BenchmarkSlopeDecode(b *testing.B) {
	for _, customers := range []int{5, 1000, 12000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			data, err := yaml.Marshal(sampleConfig(customers))
			must.NoError(b, err)
			for b.Loop() {
				_, err := Decode("c.yaml", data)
				must.NoError(b, err)
			}
			b.ReportMetric(float64(len(data)), "file-B")
		})
	}
}
