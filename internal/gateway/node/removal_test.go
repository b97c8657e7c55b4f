package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// listTarget registers a target that no call is sent to.
func (f *watchFleet) listTarget(id string) {
	f.store.Put("servers", id, map[string]any{
		"service": "app", "address": "10.1.0.1:80", "zone": "z", "slots": 4, "state": "ready", "sequence": 1, "born": 5,
	})
}

// TestRemovalInForceBesideLostReads guards against a target that VMs use for too long after
// its removal, because the store cuts off the reads that wait for changes, or because
// single VMs are cut off from it, and tell the others of an outage.
func TestRemovalInForceBesideLostReads(t *testing.T) {
	const bound = 2 * time.Second
	for name, lose := range map[string]func(f *watchFleet, round int){
		"all waiting reads are cut off": func(f *watchFleet, _ int) {
			for _, v := range f.vms {
				v.link.setFault(linkCut)
			}
		},
		"one watcher is cut off for moments": func(f *watchFleet, round int) {
			f.vms[0].link.setFault([]linkFault{linkReset, linkOK}[round/3%2])
		},
		"one watcher after the other is cut off": func(f *watchFleet, round int) {
			for i, v := range f.vms {
				v.link.setFault(linkOK)
				if round/5%len(f.vms) == i {
					v.link.setFault(linkReset)
				}
			}
		},
	} {
		for _, pause := range []time.Duration{300 * time.Millisecond, 1400 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, each %s", name, pause), func(t *testing.T) {
				runFleet(t, 8, settings.Bounds{Config: bound, Drain: bound, Weights: 10 * time.Second}, func(f *watchFleet) {
					f.listTarget("a")
					round := 0
					for range 10 {
						lose(f, round)
						round++
						time.Sleep(pause)
					}
					for i := range 6 {
						id := fmt.Sprintf("b%d", i)
						f.listTarget(id)
						for range 4 {
							lose(f, round)
							round++
							time.Sleep(pause)
						}
						f.store.Remove("servers", id)
						for end := time.Now().Add(bound); time.Now().Before(end); round++ {
							lose(f, round)
							time.Sleep(min(pause, time.Until(end)))
						}
						for _, v := range f.vms {
							if v.link.isCutOff() {
								continue
							}
							must.MapNotContainsKey(t, v.source.View().Targets, id, must.Sprint(v.settings.VM))
							must.MapContainsKey(t, v.source.View().Targets, "a")
						}
					}
				})
			})
		}
	}
}
