package node

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// TestFleetSettings checks that an operator sees at one VM which VMs run with changed
// settings, which refused theirs, and which do not respond.
func TestFleetSettings(t *testing.T) {
	bounds := settings.Bounds{Config: 2 * time.Second, Grace: 8 * time.Second}
	runFleet(t, 4, bounds, func(f *watchFleet) {
		changed := f.vms[1].settings
		changed.Operators.Address = "10.0.0.9:9"
		gateway := *changed.Gateway
		gateway.Bounds.Grace = 6 * time.Second
		changed.Gateway = &gateway
		f.vms[1].Reload(changed)
		f.vms[2].RefuseSettings(errors.New("grace is negative"))
		f.vms[3].stop()
		f.network.Remove(f.vms[3].settings.Peers.Address)
		byVM := map[string]vmSettings{}
		for _, v := range f.vms[0].fleetSettings(f.ctx) {
			byVM[v.VM] = v
		}
		before := f.vms[0].settings.Gateway.Version()
		must.MapLen(t, 4, byVM)
		must.Eq(t, before, byVM["vm-0"].Version)
		must.Eq(t, gateway.Version(), byVM["vm-1"].Version)
		must.NotEq(t, before, gateway.Version())
		must.Eq(t, "operators.address", byVM["vm-1"].AfterRestart)
		must.Eq(t, before, byVM["vm-2"].Version, must.Sprint("refused settings are not in force"))
		must.Eq(t, "grace is negative", byVM["vm-2"].Refused)
		must.NotEq(t, "", byVM["vm-3"].Error)
		f.vms[2].Reload(changed)
		must.Eq(t, "", f.vms[2].loaded.read().Refused)
	})
}
