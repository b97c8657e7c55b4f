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
	// storeTime is the time of one call of the object API in measurements.
	storeTime = 5 * time.Millisecond
	// measured is the virtual time of one measurement.
	measured = 5 * time.Second
	// workTime is the time from a claim to its answer.
	workTime = 300 * time.Millisecond
)

// A figure is what one measurement gave.
type figure struct {
	mu      sync.Mutex
	waits   []time.Duration
	refused int
	calls   store.Counts
	spent   time.Duration
}

func (f *figure) add(wait time.Duration, granted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !granted {
		f.refused++
		return
	}
	f.waits = append(f.waits, wait)
}

func (f *figure) report(b *testing.B) {
	slices.Sort(f.waits)
	quantile := func(q float64) float64 {
		if len(f.waits) == 0 {
			return 0
		}
		return float64(f.waits[int(q*float64(len(f.waits)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(float64(f.calls.Writes)/f.spent.Seconds(), "writes/s")
	b.ReportMetric(float64(f.calls.Reads)/f.spent.Seconds(), "reads/s")
	b.ReportMetric(quantile(0.5), "p50-ms")
	b.ReportMetric(quantile(0.99), "p99-ms")
	b.ReportMetric(float64(f.refused), "refused")
	b.ReportMetric(0, "ns/op")
}

// A claimant takes a claim and remembers its answer.
type claimant func(ctx context.Context, vm int, n Request) bool

// each calls a claimant at a steady rate from VMs drawn at random.
func (f *figure) each(rate int, vms int, c claimant) {
	r := rand.New(rand.NewPCG(seed.Value(), uint64(rate)))
	begun := time.Now()
	var running sync.WaitGroup
	gap := time.Second / time.Duration(rate)
	for n := 0; time.Since(begun) < measured; n++ {
		vm := r.IntN(vms)
		running.Go(func() {
			called := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			granted := c(ctx, vm, Request{Key: fmt.Sprint(n)})
			f.add(time.Since(called), granted)
		})
		time.Sleep(time.Duration(r.ExpFloat64() * float64(gap)))
	}
	running.Wait()
	f.spent = time.Since(begun)
}

// grouped measures this package's way.
func grouped(f *figure, vms, rate, shards int, window time.Duration) {
	m := store.NewMemory()
	m.SetFault(store.Slow(storeTime))
	ctx, cancel := context.WithCancel(context.Background())
	var running, finishing sync.WaitGroup
	tasks := make([]*Task, vms)
	for i := range tasks {
		tasks[i] = NewTask(Options{Store: m, Clock: store.SystemClock{}, Window: window, Seed: uint64(i), shards: shards})
		running.Go(func() { _ = tasks[i].Run(ctx) })
	}
	f.each(rate, vms, func(ctx context.Context, vm int, n Request) bool {
		g, ok := tasks[vm].Begin(ctx, n).(Granted)
		if !ok {
			return false
		}
		finishing.Go(func() {
			time.Sleep(workTime)
			_ = tasks[vm].Finish(context.Background(), g.Ticket, Response{Status: 200, Body: make([]byte, 200)})
		})
		return true
	})
	finishing.Wait()
	f.calls = m.Total()
	cancel()
	running.Wait()
}

// single measures one object for each claim.
func single(f *figure, rate int) {
	m := store.NewMemory()
	m.SetFault(store.Slow(storeTime))
	var finishing sync.WaitGroup
	f.each(rate, 1, func(ctx context.Context, _ int, n Request) bool {
		done, ok := m.Put(ctx, Prefix+n.Key, nil, store.MustNotExist).(store.Done)
		if !ok {
			return false
		}
		finishing.Go(func() {
			time.Sleep(workTime)
			m.Put(context.Background(), Prefix+n.Key, make([]byte, 200), done.Version)
		})
		return true
	})
	finishing.Wait()
	f.calls = m.Total()
}

// A way is one arrangement of this package: the number of VMs that claim, of
// shards, and the window.
type way struct {
	vms, shards int
	window      time.Duration
}

func BenchmarkMeasure(b *testing.B) {
	ways := []way{
		{vms: 8, shards: shardCount, window: DefaultWindow},
		{vms: 340, shards: shardCount, window: DefaultWindow},
		{vms: 340, shards: 1024, window: DefaultWindow},
		{vms: 340, shards: 64, window: DefaultWindow},
		// One VM for each shard, as if the others handed their claims to it.
		{vms: 1, shards: shardCount, window: DefaultWindow},
		{vms: 1, shards: 64, window: 10 * DefaultWindow},
	}
	for _, rate := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("rate=%d/single", rate), func(b *testing.B) {
			var f figure
			virtual.Run(b, func() { single(&f, rate) })
			f.report(b)
		})
		for _, w := range ways {
			b.Run(fmt.Sprintf("rate=%d/vms=%d/shards=%d/window=%s", rate, w.vms, w.shards, w.window), func(b *testing.B) {
				var f figure
				virtual.Run(b, func() { grouped(&f, w.vms, rate, w.shards, w.window) })
				f.report(b)
			})
		}
	}
}

// BenchmarkSlope gives the cost of one commit by the claims in the shard.
func BenchmarkSlope(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			now := time.UnixMilli(0)
			r := newRecord()
			for i := range n {
				id := fmt.Sprintf("%026d", i)
				r.set(entry{Key: sum(id), Digest: sum(id), ID: id, State: stateRan, Status: 200})
			}
			size := len(r.encode())
			for i := 0; b.Loop(); i++ {
				o := begin{key: sum(fmt.Sprint(i)), id: "new"}
				next, _, _ := step(r, []op{o}, now, time.Hour)
				next.encode()
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/claim")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
		})
	}
}
