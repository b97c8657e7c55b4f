package tally

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/peer"
)

// A virtualClock shows the virtual time of a test.
type virtualClock struct{}

func (virtualClock) Now() time.Time { return time.Now() }

// A tellFleet is a fleet of VMs in virtual time, half of them in each of two data centres
// with two relays each.
type tellFleet struct {
	network *peer.Memory
	vms     []*tellVM
}

type tellVM struct {
	spent, total, counted atomic.Int64
	address               string
	stop                  context.CancelFunc
}

func newTellFleet(ctx context.Context, size int) *tellFleet {
	f := &tellFleet{network: peer.NewMemory()}
	f.network.SetLatency(func(string, string) time.Duration { return 2 * time.Millisecond })
	destination := func(i int) peer.Destination {
		return peer.Destination{VM: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i)}
	}
	for i := range size {
		v := &tellVM{address: destination(i).Address}
		f.vms = append(f.vms, v)
		var relays roster.Relays
		for r := range 4 {
			switch {
			case r == i:
				relays.Self = true
				continue
			case r%2 == i%2:
				relays.Local = append(relays.Local, destination(r))
			}
			relays.Others = append(relays.Others, destination(r))
		}
		node := f.network.Node(destination(i).VM, v.address)
		teller := NewTeller(TellerOptions{
			VM: destination(i).VM, Born: 1, Peers: node, Clock: virtualClock{}, Log: log.NewNopLogger(),
			Relays: func() roster.Relays { return relays }, Needed: func() bool { return true },
			Report: func() Report { return Report{Spent: map[string]int64{"c": v.spent.Load()}} },
			OnTotal: func(_ string, total, _ Report, _ time.Time) {
				v.total.Store(total.Spent["c"])
				v.counted.Store(int64(total.VMs))
			},
		})
		teller.Register(node)
		runCtx, stop := context.WithCancel(ctx)
		v.stop = stop
		go func() { _ = teller.Run(runCtx) }()
	}
	return f
}

// totals returns the total of the fleet that each VM knows.
func (f *tellFleet) totals() []int64 {
	var out []int64
	for _, v := range f.vms {
		out = append(out, v.total.Load())
	}
	return out
}

// TestTotalsReachAllVMs checks that each VM learns within 1.6 s what all have
// admitted, also after relays are lost.
func TestTotalsReachAllVMs(t *testing.T) {
	const size = 24
	for name, lost := range map[string][]int{
		"no loss": nil, "one relay": {0}, "one relay of each data centre": {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newTellFleet(ctx, size)
				time.Sleep(5 * Period)
				gone := map[int]bool{}
				for _, i := range lost {
					gone[i] = true
					f.vms[i].stop()
					f.network.Remove(f.vms[i].address)
				}
				// The VMs find another relay and are counted by it.
				time.Sleep(8 * Period)
				before := f.totals()
				for i, v := range f.vms {
					if !gone[i] {
						v.spent.Add(10)
					}
				}
				// A report, a sum and a total take five quarters of a period each.
				time.Sleep(4 * Period)
				for i, v := range f.vms {
					if gone[i] {
						continue
					}
					must.Eq(t, int64(10*(size-len(lost))), v.total.Load()-before[i], must.Sprint("VM ", i))
					must.Eq(t, int64(size-len(lost)), v.counted.Load(), must.Sprint("VM ", i))
				}
			})
		})
	}
}
