package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/internal/virtual"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// storeLatency is the duration of one call of the object store.
	storeLatency = 5 * time.Millisecond
	// measureTime is the virtual duration of one measurement.
	measureTime = 5 * time.Second
	// runTime is the time from a claim to the response of its request.
	runTime = 300 * time.Millisecond
)

// A measurement holds the results of one benchmark run.
type measurement struct {
	mu        sync.Mutex
	latencies []time.Duration
	refused   int
	calls     store.Counts
	duration  time.Duration
}

func (f *measurement) add(wait time.Duration, granted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !granted {
		f.refused++
		return
	}
	f.latencies = append(f.latencies, wait)
}

func (f *measurement) report(b *testing.B) {
	slices.Sort(f.latencies)
	quantile := func(q float64) float64 {
		if len(f.latencies) == 0 {
			return 0
		}
		return float64(f.latencies[int(q*float64(len(f.latencies)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(float64(f.calls.Writes)/f.duration.Seconds(), "writes/s")
	b.ReportMetric(float64(f.calls.Reads)/f.duration.Seconds(), "reads/s")
	b.ReportMetric(quantile(0.5), "p50-ms")
	b.ReportMetric(quantile(0.99), "p99-ms")
	b.ReportMetric(float64(f.refused), "refused")
	b.ReportMetric(0, "ns/op")
}

// A claimant obtains a claim and stores its response. It reports whether the claim
// was granted.
type claimant func(ctx context.Context, vm int, req Request) bool

// run calls a claimant at a mean rate per second on VMs drawn at random.
func (f *measurement) run(rate int, vms int, c claimant) {
	r := rand.New(rand.NewPCG(seed.Value(), uint64(rate)))
	start := time.Now()
	var running sync.WaitGroup
	interval := time.Second / time.Duration(rate)
	for n := 0; time.Since(start) < measureTime; n++ {
		vm := r.IntN(vms)
		running.Go(func() {
			called := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			granted := c(ctx, vm, Request{Key: fmt.Sprint(n)})
			f.add(time.Since(called), granted)
		})
		time.Sleep(time.Duration(r.ExpFloat64() * float64(interval)))
	}
	running.Wait()
	f.duration = time.Since(start)
}

// measureBatched measures claims that are batched by shard, as in this package.
func measureBatched(f *measurement, vms, rate, shards int, window time.Duration) {
	m := store.NewMemory()
	m.SetFault(store.Slow(storeLatency))
	ctx, cancel := context.WithCancel(context.Background())
	var running, finishing sync.WaitGroup
	tasks := make([]*Task, vms)
	for i := range tasks {
		tasks[i] = NewTask(Options{Store: m, Clock: store.SystemClock{}, Window: window, Seed: uint64(i), shards: shards})
		running.Go(func() { _ = tasks[i].Run(ctx) })
	}
	f.run(rate, vms, func(ctx context.Context, vm int, req Request) bool {
		g, ok := tasks[vm].Begin(ctx, req).(Granted)
		if !ok {
			return false
		}
		finishing.Go(func() {
			time.Sleep(runTime)
			_ = tasks[vm].Finish(context.Background(), g.Ticket, Response{Status: 200, Body: make([]byte, 200)})
		})
		return true
	})
	finishing.Wait()
	f.calls = m.Total()
	cancel()
	running.Wait()
}

// measureUnbatched measures claims that are stored in one object each.
func measureUnbatched(f *measurement, rate int) {
	m := store.NewMemory()
	m.SetFault(store.Slow(storeLatency))
	var finishing sync.WaitGroup
	f.run(rate, 1, func(ctx context.Context, _ int, req Request) bool {
		done, ok := m.Put(ctx, Prefix+req.Key, nil, store.MustNotExist).(store.Done)
		if !ok {
			return false
		}
		finishing.Go(func() {
			time.Sleep(runTime)
			m.Put(context.Background(), Prefix+req.Key, make([]byte, 200), done.Version)
		})
		return true
	})
	finishing.Wait()
	f.calls = m.Total()
}

// A setup is one configuration to measure: the numbers of VMs and of shards, and
// the commit window.
type setup struct {
	vms, shards int
	window      time.Duration
}

func BenchmarkMeasure(b *testing.B) {
	setups := []setup{
		{vms: 8, shards: shardCount, window: DefaultWindow},
		{vms: 340, shards: shardCount, window: DefaultWindow},
		{vms: 340, shards: 1024, window: DefaultWindow},
		{vms: 340, shards: 64, window: DefaultWindow},
		// A single VM writes each shard, as if the others forwarded their claims.
		{vms: 1, shards: shardCount, window: DefaultWindow},
		{vms: 1, shards: 64, window: 10 * DefaultWindow},
	}
	for _, rate := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("rate=%d/single", rate), func(b *testing.B) {
			var f measurement
			virtual.Run(b, func() { measureUnbatched(&f, rate) })
			f.report(b)
		})
		for _, w := range setups {
			b.Run(fmt.Sprintf("rate=%d/vms=%d/shards=%d/window=%s", rate, w.vms, w.shards, w.window), func(b *testing.B) {
				var f measurement
				virtual.Run(b, func() { measureBatched(&f, w.vms, rate, w.shards, w.window) })
				f.report(b)
			})
		}
	}
}

// BenchmarkSlope reports how the cost of one commit depends on the number of claims
// in the shard.
func BenchmarkSlope(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			now := time.UnixMilli(0)
			r := newRecord()
			for i := range n {
				id := fmt.Sprintf("%026d", i)
				r.set(entry{Key: hashOf(id), Digest: hashOf(id), ID: id, State: stateRan, Status: 200})
			}
			size := len(r.encode())
			for i := 0; b.Loop(); i++ {
				o := begin{key: hashOf(fmt.Sprint(i)), id: "new"}
				next, _, _ := step(r, []op{o}, now, time.Hour)
				next.encode()
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/claim")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
		})
	}
}
