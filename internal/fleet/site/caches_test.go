package site

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPrefixStaysAtOneCacheStore guards against a prefix that is written to one KV cache store
// and looked up at another: requests chose any of several stores at random.
func TestPrefixStaysAtOneCacheStore(t *testing.T) {
	newConfig := func(stores int) *Config {
		cfg := &Config{Services: map[string]*Service{"engines": {Engine: &Engine{}}}}
		for i := range stores {
			name := fmt.Sprintf("store-%d", i)
			cfg.Services[name] = &Service{Name: name, Cache: &Cache{Address: fmt.Sprintf("10.0.0.%d:80", i), CapacityTokens: 100}}
		}
		cfg.BuildIndex()
		return cfg
	}
	t.Run("none", func(t *testing.T) {
		must.Nil(t, newConfig(0).CacheStore(1))
		must.Zero(t, newConfig(0).CacheCapacity())
	})
	t.Run("several", func(t *testing.T) {
		const prefixes = 3000
		vms := []*Config{newConfig(3), newConfig(3), newConfig(3)}
		used := map[string]int{}
		for prefix := range uint64(prefixes) {
			chosen := vms[0].CacheStore(prefix)
			used[chosen.Address]++
			for _, cfg := range vms {
				must.Eq(t, chosen.Address, cfg.CacheStore(prefix).Address)
			}
		}
		must.MapLen(t, 3, used)
		for _, n := range used {
			must.Between(t, prefixes/4, n, prefixes/2)
		}
		must.Eq(t, 300, vms[0].CacheCapacity())
	})
}
