package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestChanges(t *testing.T) {
	from := Settings{VM: "a", Gateway: &Gateway{Seeds: []string{"x"}, MemoryMB: 112, Bounds: Bounds{Drain: 4 * time.Second}}}
	to := Settings{VM: "a", Gateway: &Gateway{Seeds: []string{"x", "y"}, MemoryMB: 112, Bounds: Bounds{Drain: 5 * time.Second}}}
	to.Callers.Address = "10.0.0.1:80"
	must.Len(t, 0, Changes(from, from))
	var reloaded, other []string
	for _, c := range Changes(from, to) {
		if c.Reloaded() {
			reloaded = append(reloaded, c.String())
		} else {
			other = append(other, c.String())
		}
	}
	must.Eq(t, []string{"gateway.seeds: [x] -> [x y]", "gateway.bounds.drain: 4s -> 5s"}, reloaded)
	must.Eq(t, []string{"callers.address:  -> 10.0.0.1:80"}, other)
}

// TestHedgeIsReloaded guards against limits of hedges that an operator changes and that stay as
// they were until the VM restarts.
func TestHedgeIsReloaded(t *testing.T) {
	from := Settings{Gateway: &Gateway{}}
	to := Settings{Gateway: &Gateway{Hedge: Hedge{Routes: []string{"chat"}, Requests: 0.02, Tokens: 0.01, Quantile: 0.99}}}
	changes := Changes(from, to)
	must.Len(t, 4, changes)
	for _, c := range changes {
		must.True(t, c.Reloaded(), must.Sprint(c))
	}
}

// TestVersion checks that VMs show the same version if they run with the same settings at
// addresses of their own.
func TestVersion(t *testing.T) {
	base := Gateway{ReadyAddress: "10.0.0.1:81", MemoryMB: 112, Bounds: Bounds{Drain: 4 * time.Second}}
	elsewhere, changed := base, base
	elsewhere.ReadyAddress, elsewhere.DirectoryAddress = "10.0.0.2:81", "10.0.0.2:82"
	changed.Bounds.Drain++
	must.Eq(t, base.Version(), elsewhere.Version())
	must.NotEq(t, base.Version(), changed.Version())
}
