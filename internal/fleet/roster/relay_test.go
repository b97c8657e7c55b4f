package roster

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// A taskFleet is a fleet of Tasks in data centres, in virtual time.
type taskFleet struct {
	network *peer.Memory
	tasks   []*Task
	stops   []context.CancelFunc
	// sent counts the entries that VMs were sent, and crossed those of another data
	// centre.
	sent, crossed atomic.Int64
}

// A countingCaller counts the entries of exchanges.
type countingCaller struct {
	peer.Caller
	fleet *taskFleet
	from  int
}

func (c countingCaller) Call(ctx context.Context, to peer.Destination, call string, req, resp any) error {
	err := c.Caller.Call(ctx, to, call, req, resp)
	if err == nil {
		n := int64(len(req.(Exchange).Entries) + len(resp.(*Exchange).Entries))
		c.fleet.sent.Add(n)
		if dataCentre(c.from) != dataCentre(indexOf(to.VM)) {
			c.fleet.crossed.Add(n)
		}
	}
	return err
}

const testDataCentres = 5

// dataCentre returns the data centre of a VM of a taskFleet.
func dataCentre(i int) string { return fmt.Sprint("dc-", i%testDataCentres) }

// indexOf returns the index of a VM of a taskFleet.
func indexOf(vm string) (i int) {
	_, _ = fmt.Sscanf(vm, "vm-%d", &i)
	return i
}

// runTasks runs a script against a fleet that has run for a while.
func runTasks(t *testing.T, size int, script func(f *taskFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &taskFleet{network: peer.NewMemory()}
		f.network.SetLatency(func(string, string) time.Duration { return time.Millisecond })
		objects := store.NewMemory()
		for i := range size {
			id, address := fmt.Sprintf("vm-%03d", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
			node := f.network.Node(id, address)
			task := NewTask(Options{
				Self:  Entry{VM: id, Born: 1, DataCentre: dataCentre(i), Peers: address, State: Ready},
				Seeds: func() []string { return nil }, Peers: countingCaller{node, f, i}, Store: objects, Log: log.NewNopLogger(),
				Describe: func(*Entry) {},
			})
			task.Register(node)
			ctx, cancel := context.WithCancel(t.Context())
			f.tasks, f.stops = append(f.tasks, task), append(f.stops, cancel)
			go func() { _ = task.Run(ctx) }()
		}
		time.Sleep(15 * time.Second)
		script(f)
		for _, stop := range f.stops {
			stop()
		}
		time.Sleep(time.Second)
	})
}

// seen returns the share of the pairs of running VMs in which the one sees the other
// alive.
func (f *taskFleet) seen(running func(i int) bool) float64 {
	seen, pairs := 0, 0
	now := time.Now()
	for i, task := range f.tasks {
		if !running(i) {
			continue
		}
		for _, m := range task.Members() {
			if running(indexOf(m.Entry.VM)) && m.Alive(now) {
				seen++
			}
		}
		for j := range f.tasks {
			if j != i && running(j) {
				pairs++
			}
		}
	}
	return float64(seen) / float64(pairs)
}

// TestVMsOfLargeFleetCountAsAlive guards against VMs that run but count as silent at the
// others, which then send callers to a part of the fleet and divide limits wrongly,
// because updates take longer in a large fleet than a VM counts as alive.
func TestVMsOfLargeFleetCountAsAlive(t *testing.T) {
	for _, size := range []int{8, 100} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runTasks(t, size, func(f *taskFleet) {
				for range 2 {
					time.Sleep(time.Second)
					synctest.Wait()
					must.GreaterEq(t, 0.99, f.seen(func(int) bool { return true }))
				}
			})
		})
	}
}

// TestChangesDelayNoUpdates guards against VMs that count as silent while changes come so
// often that a VM that sends them at once does nothing else.
func TestChangesDelayNoUpdates(t *testing.T) {
	runTasks(t, 60, func(f *taskFleet) {
		for range 100 {
			for _, task := range f.tasks {
				task.Trigger()
			}
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		must.GreaterEq(t, 0.99, f.seen(func(int) bool { return true }))
	})
}

// TestLargeFleetAfterLosses guards against a fleet whose VMs no longer see each other, or
// still see the lost ones, once any part of it is lost at the same moment.
func TestLargeFleetAfterLosses(t *testing.T) {
	for name, lost := range map[string]func(i int) bool{
		"one in ten":         func(i int) bool { return i%10 == 3 },
		"six in ten":         func(i int) bool { return i%10 < 6 },
		"a data centre":      func(i int) bool { return i%testDataCentres == 2 },
		"the relays of each": nil,
	} {
		t.Run(name, func(t *testing.T) {
			runTasks(t, 30, func(f *taskFleet) {
				lost := lost
				if lost == nil {
					gone := map[string]bool{}
					for _, task := range f.tasks {
						task.mu.Lock()
						for _, r := range task.relays(time.Now()) {
							gone[r.VM] = true
						}
						task.mu.Unlock()
					}
					lost = func(i int) bool { return gone[f.tasks[i].opts.Self.VM] }
				}
				for i := range f.tasks {
					if lost(i) {
						f.stops[i]()
						f.network.Remove(f.tasks[i].opts.Self.Peers)
					}
				}
				runs := func(i int) bool { return !lost(i) }
				time.Sleep(15 * time.Second)
				for range 5 {
					time.Sleep(time.Second)
					synctest.Wait()
					must.GreaterEq(t, 0.99, f.seen(runs))
				}
				now := time.Now()
				for i, task := range f.tasks {
					if !runs(i) {
						continue
					}
					for _, m := range task.Members() {
						must.True(t, runs(indexOf(m.Entry.VM)) || !m.Alive(now))
					}
				}
			})
		})
	}
}

// TestUpdatesCrossBordersOnce guards against traffic that grows with the square of the
// fleet: each data centre needs each update of the others once, and each VM gets each
// update of the others once.
func TestUpdatesCrossBordersOnce(t *testing.T) {
	for _, size := range []int{25, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runTasks(t, size, func(f *taskFleet) {
				const period = 10 * time.Second
				f.sent.Store(0)
				f.crossed.Store(0)
				time.Sleep(period)
				updates := float64(size) * period.Seconds() / f.tasks[0].updateInterval().Seconds()
				sent, crossed := float64(f.sent.Load())/updates, float64(f.crossed.Load())/updates
				t.Logf("an update is sent to %.1f VMs, %.1f times to another data centre", sent, crossed)
				must.LessEq(t, 1.5*float64(size), sent)
				must.LessEq(t, 2*float64(relayCount*(testDataCentres-1)), crossed)
			})
		})
	}
}

// TestRelayOfEarlierBuild guards against a VM that learns nothing, during an upgrade, from a
// relay that doesn't know the request.
func TestRelayOfEarlierBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peer.NewMemory()
		task := NewTask(Options{Self: entry("new", 1, 1), Peers: network.Node("new", "10.0.0.1:1"), Log: log.NewNopLogger()})
		earlier := NewTable(entry("old", 1, 1))
		earlier.Merge("other", []Entry{entry("other", 1, 1)}, time.Now())
		peer.Handle(network.Node("old", "10.0.0.2:1"), CallExchange, func(_ context.Context, _ string, in Exchange) (Exchange, error) {
			if in.Digest == nil {
				return Exchange{}, nil
			}
			entries, want := earlier.Diff(in.Digest, time.Now())
			return Exchange{Entries: entries, Want: want}, nil
		})
		task.pull(t.Context(), peer.Destination{VM: "old", Address: "10.0.0.2:1"})
		must.Len(t, 2, task.Members())
	})
}
