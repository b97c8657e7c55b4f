package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// problemsOf returns the problems of an error as strings.
func problemsOf(t *testing.T, err error) []string {
	t.Helper()
	if err == nil {
		return nil
	}
	var problems *Problems
	must.True(t, errors.As(err, &problems))
	var list []string
	for _, p := range problems.List {
		list = append(list, p.String())
	}
	return list
}

// mustReport checks that the error reports exactly the wanted problems, each
// given by a part of its text.
func mustReport(t *testing.T, err error, want ...string) {
	t.Helper()
	got := problemsOf(t, err)
	must.Len(t, len(want), got, must.Sprintf("%q", got))
	for i, part := range want {
		must.StrContains(t, got[i], part)
	}
}

func TestValidate(t *testing.T) {
	must.NoError(t, Validate(sampleConfig(3)))
	cases := []struct {
		name   string
		change func(*Config)
		want   []string
	}{
		{"rate below zero", func(c *Config) { c.Customers[0].Rate.Tokens = -1 }, []string{
			"customers[customer-00000].rate.tokens: is -1 (permitted: more than 0 a second)",
		}},
		{"burst too small for one request", func(c *Config) { c.Customers[0].Rate.RequestBurst = 0.5 }, []string{
			"rate.requestburst: is 0.5 (permitted: 1 or more, so that one request fits)",
		}},
		{"unknown route", func(c *Config) { c.Customers[1].Routes = []string{"chat", "chta"} }, []string{
			`customers[customer-00001].routes[1]: is "chta", which is not a route`,
		}},
		{"duplicate customer", func(c *Config) { c.Customers[1].Name = "customer-00000" }, []string{
			`name: is "customer-00000", which stands twice`,
		}},
		{"duplicate digest", func(c *Config) { c.Customers[1].Keys[0].Digest = digest(0) }, []string{
			"customers[customer-00001].keys[k1].digest: is that of customers[customer-00000].keys[k1] too",
		}},
		{"duplicate key id", func(c *Config) {
			c.Customers[0].Keys = append(c.Customers[0].Keys, Key{ID: "k1", Digest: digest(77)})
		}, []string{"id: is used twice by the customer"}},
		{"secret instead of a digest", func(c *Config) { c.Customers[0].Keys[0].Digest = "sk-secret" }, []string{
			"digest: is no digest (permitted: 64 lower-case hexadecimal digits",
		}},
		{"retired digest", func(c *Config) { c.Retired = []string{digest(1)} }, []string{
			"customers[customer-00001].keys[k1].digest: is that of retired[0] too",
		}},
		{"unknown model", func(c *Config) { c.Routes[0].Model = "x" }, []string{
			`routes[chat].model: is "x", which is not a model (permitted: m)`,
		}},
		{"unknown version and adapter", func(c *Config) {
			c.Routes[0].Version, c.Routes[0].Adapters = "3", []string{"b"}
		}, []string{`version: is "3", which model m does not have (permitted: 1, 2)`, `adapters[0]: is "b"`}},
		{"empty pool", func(c *Config) { c.Routes[0].Pool = "x" }, []string{
			`pool: is "x", which no target is in (permitted: engines, services)`,
		}},
		{"pool of another kind", func(c *Config) { c.Routes[0].Pool = "services" }, []string{
			`pool: is "services", which holds no target of kind engine`,
		}},
		{"service with a model", func(c *Config) { c.Routes[1].Model = "m" }, []string{"for routes of kind model only"}},
		{"once and idempotent", func(c *Config) { c.Routes[1].Idempotent = true }, []string{"contradicts idempotent"}},
		{"no deadline", func(c *Config) { c.Routes[0].Deadline = 0 }, []string{"deadline: is 0s (permitted: more than 0"}},
		{"host name", func(c *Config) { c.Targets[0].Address = "engine.local:80" }, []string{
			`targets[e-1].address: is "engine.local:80" (permitted: an IP number and a port`,
		}},
		{"service with a role", func(c *Config) {
			c.Targets[len(c.Targets)-1].Kind = TargetService
			c.Targets[len(c.Targets)-1].Role = "prefill"
		}, []string{"role: is set for a service (permitted: none, or a target of kind engine"}},
		{"no port", func(c *Config) { c.Targets[0].Address = "10.0.0.1" }, []string{"address: is"}},
		{"address used twice", func(c *Config) { c.Targets[1].Address = c.Targets[0].Address }, []string{
			"is the address of targets[e-1] too",
		}},
		{"bad header", func(c *Config) { c.Routes[0].Secrets = []string{"X Key"} }, []string{"secrets[0]"}},
		{"no piece", func(c *Config) { c.Models[0].Piece = 0 }, []string{"models[m].piece: is 0"}},
		{"several problems", func(c *Config) {
			c.Models[0].Piece = -1
			c.Targets[0].Kind = "runner"
			c.Customers[2].Rate.Requests = 0
		}, []string{"piece", "kind", "holds no target of kind engine", "rate.requests"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cfg := sampleConfig(3)
			tc.change(cfg)
			mustReport(t, Validate(cfg), tc.want...)
		})
	}
}

func TestDecodeReportsLines(t *testing.T) {
	data := strings.Join([]string{
		"models:",
		"- name: m",
		`  versions: ["1"]`,
		"  piece: 0",
		"customers:",
		"- name: a",
		"  rate: {requests: 1, requestburst: 1, tokens: 5, tokenburst: 5}",
		"- name: b",
		"  rate:",
		"    requests: -2",
		"    requestburst: 1",
		"    tokens: 5",
		"    tokenburst: 5",
	}, "\n")
	_, err := Decode("c.yaml", []byte(data))
	mustReport(t, err, "c.yaml:4: models[m].piece: is 0", "c.yaml:10: customers[b].rate.requests: is -2")
}

func TestApply(t *testing.T) {
	base := sampleConfig(3)
	base.Version = 7
	cases := []struct {
		name  string
		patch Patch
		want  []string
	}{
		{"rate of an unknown customer", Patch{Rates: []RateChange{{Customer: "x"}}}, []string{
			`rates: names customer "x", which does not exist`,
		}},
		{"unknown key", Patch{Withdraw: []Withdrawal{{Customer: "customer-00000", Key: "k9"}}}, []string{
			`withdraw: names key "k9"`,
		}},
		{"removal of an unknown model", Patch{Remove: Names{Models: []string{"x"}}}, []string{
			`remove.models: names "x", which does not exist`,
		}},
		{"set and removed", Patch{
			Set: Items{Models: []Model{{Name: "m"}}}, Remove: Names{Models: []string{"m"}},
		}, []string{"also under remove"}},
		{"removal of a route in use", Patch{Remove: Names{Routes: []string{"hold"}}}, []string{
			`customers[customer-00000].routes[1]: is "hold", which is not a route`, "customer-00001", "customer-00002",
		}},
		{"partly valid", Patch{
			Rates: []RateChange{{Customer: "customer-00000", Rate: Rate{1, 1, 1, 1}}},
			Grant: []Grant{{Customer: "customer-00001", Key: Key{ID: "k2", Digest: "x"}}},
		}, []string{"customers[customer-00001].keys[k2].digest: is no digest"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Apply(base, tc.patch)
			mustReport(t, err, tc.want...)
			must.Eq(t, base.Customers, sampleConfig(3).Customers, must.Sprint("the base is not modified"))
		})
	}
	t.Run("accepted", func(t *testing.T) {
		next, err := Apply(base, Patch{
			Rates: []RateChange{{Customer: "customer-00001", Rate: Rate{1, 2, 3, 4}}},
			Grant: []Grant{{Customer: "customer-00001", Key: Key{ID: "k2", Digest: digest(50)}}},
			Set:   Items{Models: []Model{{Name: "a", Versions: []string{"1"}, Piece: 1}}},
		})
		must.NoError(t, err)
		must.Eq(t, 8, next.Version)
		must.Eq(t, Rate{1, 2, 3, 4}, next.Customers[1].Rate)
		must.Len(t, 2, next.Customers[1].Keys)
		must.Eq(t, "a", next.Models[0].Name)
		must.Eq(t, base.Customers, sampleConfig(3).Customers)
	})
}

// TestWithdrawnKeys checks that a key that was withdrawn, removed or retired
// comes back into force only if the patch lists its digest under reinstate.
func TestWithdrawnKeys(t *testing.T) {
	customer := sampleConfig(1).Customers[0]
	removals := map[string]Patch{
		"withdrawn":        {Withdraw: []Withdrawal{{Customer: customer.Name, Key: "k1", Mode: WithdrawnCut}}},
		"customer removed": {Remove: Names{Customers: []string{customer.Name}}},
		"key dropped":      {Set: Items{Customers: []Customer{{Name: customer.Name, Rate: customer.Rate}}}},
		"retired":          {Remove: Names{Customers: []string{customer.Name}}, Retire: []string{digest(0)}},
	}
	restore := Patch{Set: Items{Customers: []Customer{customer}}}
	for name, patch := range removals {
		t.Run(name, func(t *testing.T) {
			next, err := Apply(sampleConfig(2), patch)
			must.NoError(t, err)
			_, err = Apply(next, restore)
			mustReport(t, err, "is withdrawn; name its digest under reinstate")
			other, err := Apply(next, Patch{Rates: []RateChange{{Customer: "customer-00001", Rate: customer.Rate}}})
			must.NoError(t, err)
			allowed := restore
			allowed.Reinstate = []string{digest(0)}
			again, err := Apply(other, allowed)
			must.NoError(t, err)
			_, key := NewView(again).KeyByDigest(digest(0))
			must.Eq(t, Key{ID: "k1", Digest: digest(0)}, *key)
		})
	}
}

func TestDecodePatch(t *testing.T) {
	p, err := DecodePatch("p.yaml", []byte("base: 3\nwithdraw:\n- {customer: c, key: k, mode: cut}\n"))
	must.NoError(t, err)
	must.Eq(t, 3, p.Base)
	must.Eq(t, []Withdrawal{{Customer: "c", Key: "k", Mode: WithdrawnCut}}, p.Withdraw)
	again, err := DecodePatch("q.yaml", []byte("{base: 3, withdraw: [{customer: c, key: k, mode: cut}]}"))
	must.NoError(t, err)
	must.Eq(t, p.ID, again.ID, must.Sprint("the id is derived from the content"))
	for data, want := range map[string]string{
		"withdraw: []\n":            "p.yaml:1: base: is missing or below 0",
		"base: -1\n":                "p.yaml:1: base: is missing or below 0",
		"base: 1\nid: a b\n":        `p.yaml:2: id: is "a b"`,
		"base: 1\nwithdrawn: []\n":  "p.yaml:2: withdrawn: is not a known field",
		"base: 1\nbase: 2\n":        "p.yaml:2: base: stands twice, first on line 1",
		"base: 1\nrates:\n- {c: 1}": "p.yaml:3: rates[0].c: is not a known field (permitted: customer, rate)",
	} {
		_, err := DecodePatch("p.yaml", []byte(data))
		mustReport(t, err, want)
	}
	lines, err := DecodePatch("p.yaml", []byte("base: 0\nset:\n  models:\n  - name: m\n    piece: 0\n"))
	must.NoError(t, err)
	_, err = Apply(&Config{}, lines)
	mustReport(t, err, "p.yaml:4: models[m].versions: is empty", "p.yaml:5: models[m].piece: is 0")
}

func ExampleApply() {
	cfg := sampleConfig(2)
	cfg.Version = 4
	patch, err := DecodePatch("patch.yaml", []byte(`
id: lower-rate
base: 4
rates:
- customer: customer-00000
  rate: {requests: 5, requestburst: 10, tokens: 500, tokenburst: 1000}
`))
	if err != nil {
		fmt.Println(err)
	}
	next, err := Apply(cfg, patch)
	fmt.Println(next.Version, next.Customers[0].Rate.Requests, err)
	// Output: 5 5 <nil>
}

func FuzzConfig(f *testing.F) {
	f.Add([]byte("customers:\n- name: a\n  keys:\n  - {id: k, digest: x}\n"))
	f.Add([]byte("routes:\n- {name: r, kind: model, pool: p, deadline: 1s}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := Decode("c.yaml", data)
		if err != nil {
			must.SliceNotEmpty(t, problemsOf(t, err))
			return
		}
		must.NoError(t, Validate(cfg))
	})
}

// FuzzPatch checks that an accepted patch makes a valid configuration with the
// next version, and that applying it on another VM gives the same root.
func FuzzPatch(f *testing.F) {
	f.Add([]byte("base: 0\nrates:\n- {customer: customer-00001, rate: {requests: 1, requestburst: 1, tokens: 1, tokenburst: 1}}\n"))
	f.Add([]byte("base: 0\nremove: {customers: [customer-00001]}\n"))
	f.Add([]byte("base: 0\nwithdraw:\n- {customer: customer-00001, key: k1}\n"))
	base, err := newSnapshot(sampleConfig(3), emptySnapshot())
	must.NoError(f, err)
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := DecodePatch("p.yaml", data)
		if err != nil {
			return
		}
		next, err := Apply(base.view.Config, p)
		if err != nil {
			must.SliceNotEmpty(t, problemsOf(t, err))
			return
		}
		must.Eq(t, 1, next.Version)
		must.NoError(t, Validate(next))
		snap, err := newSnapshot(next, base)
		must.NoError(t, err)
		p.Base = 0
		other, err := base.applyPatch(VersionedPatch{Version: 1, Patch: p, Root: snap.root})
		must.NoError(t, err)
		must.Eq(t, snap.root, other.root)
	})
}
