package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/throttle"
	"github.com/baobabdyke/baobabdyke/internal/gateway/caches"
)

// TestTablesAreBounded guards against tables that grow with each name in a request.
func TestTablesAreBounded(t *testing.T) {
	p := New("z", time.Minute, caches.NewIndex(), throttle.NewTable("vm"))
	now := time.Unix(1000, 0)
	engine := &site.Target{ID: "e", Weights: map[string]int64{}}
	for i := range 3 * maxPrefixes {
		prefixes := []Prefix{{Hash: uint64(i) << 8}}
		p.holders.recordSent(Choice{Target: engine}, prefixes, now)
		p.replicasFor(&Request{Prefixes: prefixes}, now)
	}
	for i := range 2 * maxModels {
		p.ObserveWeights(engine, fmt.Sprint("m-", i), 1, now)
	}
	must.MapLen(t, maxPrefixes, p.holders.prefixes)
	must.Len(t, maxSent, p.holders.sent)
	must.MapLen(t, maxPrefixes, p.sendRates)
	must.MapLen(t, maxModels, p.state(engine, now).weights)

	later := now.Add(time.Minute)
	p.holders.prune(later)
	p.pruneSendRates(later)
	must.MapEmpty(t, p.holders.prefixes)
	must.MapEmpty(t, p.sendRates)
}
