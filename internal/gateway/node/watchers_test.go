package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/platform"
)

// A watchFleet is a fleet of VMs without ports in front of one store, in virtual
// time.
type watchFleet struct {
	// ctx ends with the test, in its virtual time.
	ctx     context.Context
	store   *fake.SiteStore
	network *peer.Memory
	vms     []*watchVM
	version int
}

type watchVM struct {
	*Node
	link *siteLink
	stop context.CancelFunc
}

// runFleet runs a script against a fleet whose VMs have found each other.
func runFleet(t *testing.T, size int, bounds settings.Bounds, script func(f *watchFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { playFleet(t.Context(), size, bounds, script) })
}

// playFleet is runFleet in virtual time that has begun.
func playFleet(ctx context.Context, size int, bounds settings.Bounds, script func(f *watchFleet)) {
	f := &watchFleet{ctx: ctx, store: fake.NewSiteStore(), network: peer.NewMemory()}
	f.network.SetLatency(func(string, string) time.Duration { return time.Millisecond })
	f.configure()
	for i := range size {
		f.add(i, bounds)
	}
	time.Sleep(20 * time.Second)
	synctest.Wait()
	defer func() {
		for _, v := range f.vms {
			v.stop()
		}
		// Time stands still once the test function has returned, so that calls that
		// are under way would never end.
		time.Sleep(largePullTimeout)
	}()
	script(f)
}

func (f *watchFleet) configure() {
	f.version++
	f.store.PutRaw(platform.KindConfig, "main", []byte(fmt.Sprintf(configuration, f.version, 1000, 1000)))
}

func (f *watchFleet) add(i int, bounds settings.Bounds) {
	v, ctx := f.newVM(i, bounds)
	for _, run := range []func(context.Context) error{v.source.Run, v.roster.Run, v.teller.Run, v.shares.Run, v.runWatching} {
		go func() { _ = run(ctx) }()
	}
}

// newVM adds a VM whose tasks have not started, and returns the context for them.
func (f *watchFleet) newVM(i int, bounds settings.Bounds) (*watchVM, context.Context) {
	id := fmt.Sprintf("vm-%d", i)
	address := fmt.Sprintf("10.0.0.%d:1", i+1)
	s := settings.Settings{VM: id, Region: "r", DataCentre: "z", Gateway: &settings.Gateway{
		Seeds: []string{"10.0.0.1:1"}, Bounds: bounds,
	}}
	s.Callers.Address, s.Peers.Address = address, address
	link := newSiteLink(f.store)
	link.network, link.vm = f.network, id
	network := f.network.Node(id, address)
	ctx, cancel := context.WithCancel(f.ctx)
	v := &watchVM{Node: newNode(s, log.NewNopLogger(), platform.NewObjectsOver("store", link), network, network), link: link, stop: cancel}
	f.vms = append(f.vms, v)
	return v, ctx
}

// watchers returns the VMs that poll the store.
func (f *watchFleet) watchers() []*watchVM {
	var out []*watchVM
	for _, v := range f.vms {
		if v.watching.Load() {
			out = append(out, v)
		}
	}
	return out
}

// assertInForce checks that the newest configuration is in force on all VMs but
// those that are left out.
func (f *watchFleet) assertInForce(t *testing.T, except []*watchVM) {
	t.Helper()
	leftOut := map[*watchVM]bool{}
	for _, v := range except {
		leftOut[v] = true
	}
	behind := 0
	for _, v := range f.vms {
		if cfg := v.source.View().Config; !leftOut[v] && (cfg == nil || cfg.Version != int64(f.version)) {
			behind++
		}
	}
	must.Zero(t, behind, must.Sprintf("of %d VMs are behind", len(f.vms)))
}

// losses are ways in which a watcher loses the store.
var losses = map[string]func(f *watchFleet, v *watchVM){
	"reset":  func(_ *watchFleet, v *watchVM) { v.link.setFault(linkReset) },
	"silent": func(_ *watchFleet, v *watchVM) { v.link.setFault(linkSilent) },
	"killed": func(f *watchFleet, v *watchVM) {
		v.stop()
		f.network.Remove(v.settings.Peers.Address)
	},
}

// TestChangeInForceAfterAllWatchersLoseStore guards against a change that takes
// effect too late because the VMs that read it for the others have lost the store.
func TestChangeInForceAfterAllWatchersLoseStore(t *testing.T) {
	const bound = 2 * time.Second
	bounds := settings.Bounds{Config: bound, Drain: bound, Weights: 10 * time.Second}
	for _, size := range []int{8, 18} {
		for name, lose := range losses {
			t.Run(fmt.Sprintf("%d VMs, watchers %s", size, name), func(t *testing.T) {
				runFleet(t, size, bounds, func(f *watchFleet) {
					lost := f.watchers()
					for _, v := range lost {
						lose(f, v)
					}
					time.Sleep(50 * time.Millisecond)
					f.configure()
					time.Sleep(bound)
					f.assertInForce(t, lost)
				})
			})
		}
	}
}

// TestOnlyWatchersPollStore guards against calls of the store that grow with the
// fleet because VMs that are up to date read it themselves.
func TestOnlyWatchersPollStore(t *testing.T) {
	const bound = 2 * time.Second
	// Registered VMs are read every 6 s at most, and records of shares read and written every
	// 4 s at most, by each VM.
	const (
		maxListCalls  = 6
		maxShareCalls = 2 * (7*bound/(4*time.Second) + 1)
	)
	runFleet(t, 18, settings.Bounds{Config: bound, Drain: bound, Weights: 10 * time.Second}, func(f *watchFleet) {
		must.Len(t, watcherCount, f.watchers())
		before, sharesBefore := map[*watchVM]int{}, map[*watchVM]int{}
		for _, v := range f.vms {
			before[v], sharesBefore[v] = v.link.callCounts()
		}
		for range 6 {
			time.Sleep(bound)
			f.configure()
		}
		time.Sleep(bound)
		f.assertInForce(t, nil)
		must.Len(t, watcherCount, f.watchers())
		for _, v := range f.vms {
			calls, shareCalls := v.link.callCounts()
			if !v.watching.Load() {
				must.LessEq(t, maxListCalls, calls-before[v], must.Sprint(v.settings.VM))
			}
			must.LessEq(t, int(maxShareCalls), shareCalls-sharesBefore[v], must.Sprint(v.settings.VM))
		}
	})
}
