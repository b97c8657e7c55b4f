package node

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTargetGetsMoreThanItsLimit guards against VMs that together send a target more
// requests than it has stated that it accepts.
func TestTargetGetsMoreThanItsLimit(t *testing.T) {
	const (
		limit    = 2.0
		requests = 60
	)
	b := newTestbed(t)
	vms := []*testVM{b.start("vm-1")}
	vms[0].ready()
	for i := range 2 {
		v := b.start(fmt.Sprint("vm-", i+2), vms[0].settings.Peers.Address)
		v.ready()
		vms = append(vms, v)
	}
	for _, v := range vms {
		eventually(t, func() bool { return v.roster.Count() == len(vms) })
	}
	for _, target := range append(b.apps[:], b.engines[:]...) {
		target.SetHeader("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	for _, c := range []struct {
		path     string
		received func() int
	}{
		{"/lookup/", func() int { return b.apps[0].Received() + b.apps[1].Received() }},
		{"/commit/", func() int { return b.apps[0].Received() + b.apps[1].Received() }},
		{"/stream/a/", func() int { return b.engines[0].Received() + b.engines[1].Received() }},
	} {
		t.Run(c.path, func(t *testing.T) {
			for _, v := range vms {
				for i := range 4 {
					v.request(c.path, fmt.Sprint("told-", i))
				}
			}
			before, start := c.received(), time.Now()
			refused := 0
			for i := range requests {
				for _, v := range vms {
					got := v.request(c.path, fmt.Sprint("r-", i))
					must.NoError(t, got.err)
					if got.status == http.StatusServiceUnavailable {
						refused++
						must.NotEq(t, "", got.header.Get("Retry-After"))
					}
				}
			}
			const targets = 2
			allowed := targets * (1.5*limit*time.Since(start).Seconds() + 5)
			must.LessEq(t, allowed, float64(c.received()-before))
			must.Positive(t, refused)
		})
	}
	t.Run("a target that names no limit any more gets all requests", func(t *testing.T) {
		for _, target := range append(b.apps[:], b.engines[:]...) {
			target.SetHeader("Server-Limit", "")
		}
		for _, v := range vms {
			eventually(t, func() bool {
				for i := range 10 {
					if v.request("/lookup/", fmt.Sprint("free-", i)).status != http.StatusOK {
						return false
					}
				}
				return true
			})
		}
	})
}
