package site_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

// withCustomers returns a configuration with customers that are isolated or not.
func withCustomers(isolated map[string]bool) *site.Config {
	cfg := &site.Config{}
	for name, is := range isolated {
		cfg.Customers = append(cfg.Customers, site.Customer{Name: name, Isolated: is})
	}
	cfg.BuildIndex()
	return cfg
}

// TestIsolatedCustomerSharesNoCache guards against KV cache that a customer made while it
// shared and that others use, or that it uses, once it is isolated. VMs that hold any
// version of the configuration serve any customer, whatever happened before.
func TestIsolatedCustomerSharesNoCache(t *testing.T) {
	names := []string{"a", "b", "a\"b"}
	rapid.Check(t, func(t *rapid.T) {
		makers := map[string]map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			isolated := map[string]bool{}
			for _, name := range names {
				switch rapid.IntRange(0, 2).Draw(t, name) {
				case 1:
					isolated[name] = false
				case 2:
					isolated[name] = true
				}
			}
			user := rapid.SampledFrom(append([]string{""}, names...)).Draw(t, "user")
			scope := withCustomers(isolated).CacheScope(user)
			for maker := range makers[scope] {
				if maker != user && (isolated[maker] || isolated[user]) {
					t.Fatalf("%q uses what %q made in scope %q, isolated are %v", user, maker, scope, isolated)
				}
			}
			if makers[scope] == nil {
				makers[scope] = map[string]bool{}
			}
			makers[scope][user] = true
		}
	})
}

// TestCacheScope checks which changes keep the KV cache in use.
func TestCacheScope(t *testing.T) {
	before := withCustomers(map[string]bool{"a": false, "b": false, "c": true})
	for name, c := range map[string]struct {
		after map[string]bool
		keeps bool
	}{
		"no change":                        {map[string]bool{"a": false, "b": false, "c": true}, true},
		"a customer is added":              {map[string]bool{"a": false, "b": false, "c": true, "d": false}, true},
		"a customer is removed":            {map[string]bool{"a": false, "c": true}, true},
		"a customer is isolated":           {map[string]bool{"a": false, "b": true, "c": true}, false},
		"an isolated customer is added":    {map[string]bool{"a": false, "b": false, "c": true, "d": true}, false},
		"another customer is isolated now": {map[string]bool{"a": false, "b": true, "c": false}, false},
		"a customer shares again":          {map[string]bool{"a": false, "b": false, "c": false}, false},
	} {
		t.Run(name, func(t *testing.T) {
			after := withCustomers(c.after)
			must.Eq(t, c.keeps, before.CacheScope("a") == after.CacheScope("a"))
			must.Eq(t, c.after["c"], before.CacheScope("c") == after.CacheScope("c"))
		})
	}
	t.Run("without isolated customers the scope is empty", func(t *testing.T) {
		must.Eq(t, "", withCustomers(map[string]bool{"a": false}).CacheScope("a"))
	})
	t.Run("a customer that is not listed shares nothing", func(t *testing.T) {
		for _, other := range []string{"", "a", "b", "c", "f"} {
			must.NotEq(t, before.CacheScope("e"), before.CacheScope(other), must.Sprintf("%q", other))
		}
	})
}
