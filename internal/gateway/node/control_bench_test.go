package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/internal/virtual"
	"github.com/baobabdyke/baobabdyke/peer"
)

const (
	// controlEngines and controlRequests are the engines and the requests per second and
	// VM of the large fleet.
	controlEngines  = 78
	controlRequests = 3
	// controlPeriod is the time over which control is measured.
	controlPeriod = 10 * time.Second
)

// controlTime returns the processor time of this process.
func controlTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// listEngines lists the engines of the fleet.
func (f *watchFleet) listEngines() {
	for i := range controlEngines {
		id := fmt.Sprint("llm-", i)
		f.store.Put("servers", id, map[string]any{
			"service": "llm", "address": fmt.Sprintf("10.1.0.%d:1", i), "zone": "z", "slots": 48, "state": "ready", "sequence": 1, "born": 5,
			"models": []map[string]any{{"name": "m", "version": 1}},
		})
	}
}

// serve records requests of callers as a VM does, without sending them, until ctx ends.
func (v *watchVM) serve(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / controlRequests))
		view := v.source.View()
		if view.Config == nil {
			continue
		}
		v.quota.Admit(&view.Config.Customers[0], 1000)
		req := placing.Request{
			Service: "llm", Model: "m", Tokens: 9190, TimeLeft: 4 * time.Second, EngineTokens: 98785,
			Prefixes: []placing.Prefix{{Hash: uint64(r.IntN(1348)), Segment: "s", Tokens: 6300}},
			Salt:     func(int64) string { return "m" },
		}
		c, ok := v.placer.Choose(view, req, time.Now())
		if !ok {
			continue
		}
		v.placer.Begin(c, req.Prefixes, time.Now())
		go func() {
			time.Sleep(150 * time.Millisecond)
			v.placer.FirstToken(c, 150*time.Millisecond, time.Now())
			time.Sleep(300 * time.Millisecond)
			v.placer.End(c, placing.Served, true, time.Now())
		}()
	}
}

func (f *watchFleet) traffic() (sum peer.Traffic) {
	for _, v := range f.vms {
		t := v.client.(*peer.MemoryNode).Traffic()
		sum.Calls += t.Calls
		sum.Sent += t.Sent
	}
	return sum
}

// BenchmarkSlopeControl reports what control costs each VM a second, at rest and with
// requests: processor time, which includes the requests' accounting, the store's stand-in
// and virtual time, calls to other VMs and bytes sent.
func BenchmarkSlopeControl(b *testing.B) {
	bounds := settings.Bounds{Config: 4 * time.Second, Drain: 4 * time.Second, Weights: 12 * time.Second}
	for _, busy := range []bool{false, true} {
		for _, size := range []int{8, 72, 195, 340} {
			name := fmt.Sprintf("vms=%d", size)
			if busy {
				name += "/busy"
			}
			b.Run(name, func(b *testing.B) {
				for range b.N {
					virtual.Run(b, func() {
						playFleet(context.Background(), size, bounds, func(f *watchFleet) { f.measure(b, busy) })
					})
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// measure reports what control costs the VMs of a fleet.
func (f *watchFleet) measure(b *testing.B, busy bool) {
	f.listEngines()
	ctx, cancel := context.WithCancel(f.ctx)
	defer time.Sleep(5 * time.Second)
	defer cancel()
	if busy {
		for i, v := range f.vms {
			go v.serve(ctx, uint64(i))
		}
	}
	time.Sleep(30 * time.Second)
	synctest.Wait()
	cpu, before := controlTime(b), f.traffic()
	var mem, after runtime.MemStats
	runtime.ReadMemStats(&mem)
	time.Sleep(controlPeriod)
	synctest.Wait()
	runtime.ReadMemStats(&after)
	t := f.traffic()
	members := 0
	for _, v := range f.vms {
		for _, m := range v.roster.Members() {
			if m.Alive(time.Now()) {
				members++
			}
		}
	}
	b.ReportMetric(float64(members)/float64(len(f.vms)), "alive")
	per := 1 / controlPeriod.Seconds() / float64(len(f.vms))
	b.ReportMetric(float64((controlTime(b)-cpu).Microseconds())/1000*per, "ms/s/VM")
	b.ReportMetric(float64(t.Calls-before.Calls)*per, "calls/s/VM")
	b.ReportMetric(float64(t.Sent-before.Sent)*per, "B/s/VM")
	b.ReportMetric(float64(after.Mallocs-mem.Mallocs)*per, "allocs/s/VM")
	b.ReportMetric(float64(after.HeapInuse)/float64(len(f.vms))/1024, "KB/VM")
}
