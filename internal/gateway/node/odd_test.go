package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestOddEntriesStopNoVM guards against VMs that end, or no longer follow the store or
// each other, because of odd objects of another writer.
func TestOddEntriesStopNoVM(t *testing.T) {
	b := newTestbed(t)
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	target := func(field, value string) string {
		fields := map[string]string{
			"service": `"app"`, "address": `"127.0.0.1:1"`, "zone": `"z"`, "slots": "4", "state": `"ready"`, "sequence": "1", "born": "5",
		}
		fields[field] = value
		var spec []string
		for name, value := range fields {
			spec = append(spec, fmt.Sprintf("%q:%s", name, value))
		}
		return "{" + strings.Join(spec, ",") + "}"
	}
	odd := map[string]string{
		"nested": nested, "extra": target("extra", nested), "slots": target("slots", "1e400"), "huge": target("slots", "9223372036854775807"),
		"born": target("born", "1e30"), "port": target("address", `"127.0.0.1:70000"`), "port-0": target("address", `"127.0.0.1:0"`),
		"infinite": target("coldLeftMs", "Infinity"), "bytes": "{\"zone\":\"\xff\"}", "line\r\nX-Odd: 1": target("zone", `"z"`),
	}
	put := func() {
		for name, spec := range odd {
			b.store.PutRaw("servers", name, []byte(spec))
		}
		for _, kind := range []string{"vms", "versions"} {
			b.store.PutRaw(kind, "nested", []byte(nested))
			b.store.PutRaw(kind, "number", []byte(`{"vm":"number","peers":"10.0.0.1:70000","born":1e400,"model":"m","version":1e400}`))
		}
		b.store.PutItem("servers", "nameless", []byte(`{"metadata":`+nested+`,"spec":{}}`))
	}
	put()
	b.store.SetPageSize(3)
	v1 := b.start("vm-1")
	v1.ready()
	v2 := b.start("vm-2", v1.settings.Peers.Address)
	v2.ready()
	put()
	listed := func(v *testVM) int { return len(v.source.View().Targets) }

	for _, v := range []*testVM{v1, v2} {
		eventually(t, func() bool { return listed(v) == 4 })
		for i := range 20 {
			must.Eq(t, http.StatusOK, v.request("/commit/", fmt.Sprint("r-", i)).status)
		}
		must.Eq(t, http.StatusOK, v.request("/stream/b/", "r").status)
		status, body := v.get("http://" + v.settings.Operators.Address + "/dump")
		must.Eq(t, http.StatusOK, status)
		must.True(t, json.Valid([]byte(body)))
	}
	// A valid entry in place of an odd one, and its removal, are followed.
	b.target("app", "nested")
	for _, v := range []*testVM{v1, v2} {
		eventually(t, func() bool { return listed(v) == 5 })
	}
	b.store.Remove("servers", "nested")
	b.store.PutRaw("servers", "app-0", []byte(nested))
	for _, v := range []*testVM{v1, v2} {
		eventually(t, func() bool { return listed(v) == 3 })
	}
	// A lease that can't be read doesn't stop a rollout.
	b.store.PutRaw("lease", "orders", []byte(nested))
	b.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	eventually(t, func() bool { return b.engines[0].Version() == 2 && b.engines[1].Version() == 2 })
}
