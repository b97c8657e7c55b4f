package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// isolate puts a configuration into force in which customer c is isolated or not, beside
// another customer that is not.
func (b *testbed) isolate(v *testVM, isolated bool) {
	b.t.Helper()
	b.version++
	text := fmt.Sprintf(configuration, b.version, 0, 0)
	text = strings.Replace(text, `"name":"c"`, fmt.Sprintf(`"name":"c","isolated":%t`, isolated), 1)
	text = strings.Replace(text, `"tenants":[`, `"tenants":[{"name":"d","apiKeys":["key-d"]},`, 1)
	b.store.PutRaw("config", "main", []byte(text))
	version := int64(b.version)
	eventually(b.t, func() bool { return v.source.View().Config.Version == version })
}

// scopes returns the customers of the runs at all engines by the scope of the KV cache that
// they could use, in the order of their first run there.
func (b *testbed) scopes() map[string][]string {
	out := map[string][]string{}
	for _, engine := range b.engines {
		for _, run := range engine.Runs() {
			salt, customer := run.Header.Get("Baobabdyke-Cache-Salt"), run.Header.Get("Baobabdyke-Tenant")
			out[salt] = append(out[salt], customer)
		}
	}
	return out
}

// TestCacheOfIsolatedCustomerStaysInUse guards against requests that use KV cache which a
// customer made before it was isolated.
func TestCacheOfIsolatedCustomerStaysInUse(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	b.isolate(v, false)
	must.Eq(t, http.StatusOK, v.request("/stream/b/", "c1").status)
	must.Eq(t, http.StatusOK, v.request("/stream/b/", "d1", "Baobabdyke-Credential", "key-d").status)
	must.MapLen(t, 1, b.scopes())

	b.isolate(v, true)
	must.Eq(t, http.StatusOK, v.request("/stream/b/", "c2").status)
	must.Eq(t, http.StatusOK, v.request("/stream/b/", "d2", "Baobabdyke-Credential", "key-d").status)
	scopes := b.scopes()
	must.MapLen(t, 3, scopes, must.Sprint(scopes))
}

// TestRepeatedRequestUsesCacheOfIsolatedCustomer guards against a request that is sent again,
// or goes on at another engine, by the configuration under which it was admitted although its
// customer has been isolated since.
func TestRepeatedRequestUsesCacheOfIsolatedCustomer(t *testing.T) {
	for _, c := range []struct {
		name string
		// first has the request sent by call to one engine, isolates the customer, and has
		// the request sent to the other.
		first func(b *testbed, v *testVM, call func())
	}{
		{"the engine is lost", func(b *testbed, v *testVM, call func()) {
			inForce := make(chan struct{})
			for _, engine := range b.engines {
				engine.SetResponse(func(run fake.SiteRun) string {
					<-inForce
					if len(b.scopes()) > 1 {
						return respond(run, "200 OK", sealed+eventType, "chunked", wholeStream())
					}
					return ""
				})
			}
			call()
			eventually(b.t, func() bool { return runs(b.engines) == 1 })
			b.isolate(v, true)
			close(inForce)
		}},
		{"the engine is silent", func(b *testbed, v *testVM, call func()) {
			silent, _ := b.silenceFirst(b.engines, call)
			b.isolate(v, true)
			b.t.Cleanup(silent.Resume)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t)
			v := b.start("vm-1")
			v.ready()
			b.isolate(v, false)
			var results <-chan result
			c.first(b, v, func() { results = v.send("/stream/a/") })
			must.Eq(t, http.StatusOK, (<-results).status)
			scopes := b.scopes()
			must.MapLen(t, 2, scopes, must.Sprint(scopes))
		})
	}
}
