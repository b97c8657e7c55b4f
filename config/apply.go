package config

import (
	"cmp"
	"slices"
	"strings"
)

// Apply applies the patch to cfg and returns the resulting configuration as
// the next version. It does not modify cfg. The error is a *Problems that
// lists every reason why the patch is refused.
func Apply(cfg *Config, p Patch) (*Config, error) {
	next, r := p.applyTo(cfg)
	if err := r.Err(); err != nil {
		return nil, err
	}
	r.Lines = r.Lines.trimPrefix("set.")
	next.check(r)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return next, nil
}

// trimPrefix returns the lines of the fields below the prefix, keyed by the
// field names without the prefix, as a configuration names them.
func (l Lines) trimPrefix(prefix string) Lines {
	out := Lines{}
	for field, n := range l {
		if rest, ok := strings.CutPrefix(field, prefix); ok {
			out[rest] = n
		}
	}
	return out
}

// applyTo applies the patch without validating the result.
func (p *Patch) applyTo(cfg *Config) (*Config, *Report) {
	e := &editor{Report: p.newReport(), before: cfg, retired: map[string]bool{}}
	next := &Config{Version: cfg.Version + 1}
	next.Models = editItems(e, "models", cfg.Models, p.Set.Models, p.Remove.Models, modelName)
	next.Targets = editItems(e, "targets", cfg.Targets, p.Set.Targets, p.Remove.Targets, targetName)
	next.Routes = editItems(e, "routes", cfg.Routes, p.Set.Routes, p.Remove.Routes, routeName)
	next.Customers = editItems(e, "customers", cfg.Customers, p.Set.Customers, p.Remove.Customers, customerName)
	e.changeCustomers(next, p)
	e.updateRetired(next, p)
	return next, e.Report
}

func modelName(m Model) string       { return m.Name }
func targetName(t Target) string     { return t.Name }
func routeName(r Route) string       { return r.Name }
func customerName(c Customer) string { return c.Name }

// An editor applies one patch and collects its problems.
type editor struct {
	*Report
	before  *Config
	retired map[string]bool
}

// editItems applies the set and remove lists to the items and returns the
// result sorted by name.
func editItems[T any](e *editor, kind string, before, set []T, remove []string, name func(T) string) []T {
	if len(set) == 0 && len(remove) == 0 {
		return before
	}
	removed := map[string]bool{}
	for _, n := range remove {
		removed[n] = true
		if !slices.ContainsFunc(before, func(t T) bool { return name(t) == n }) {
			e.Add("remove."+kind, "", "names %q, which does not exist", n)
		}
	}
	replaced := map[string]bool{}
	for _, t := range set {
		if replaced[name(t)] || removed[name(t)] {
			e.Add("set."+kind, "", "names %q twice, or also under remove", name(t))
		}
		replaced[name(t)] = true
	}
	items := make([]T, 0, len(before)+len(set))
	for _, t := range before {
		if !removed[name(t)] && !replaced[name(t)] {
			items = append(items, t)
		}
	}
	items = append(items, set...)
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return items
}

// changeCustomers applies rate changes, grants and withdrawals.
func (e *editor) changeCustomers(next *Config, p *Patch) {
	if len(p.Rates)+len(p.Grant)+len(p.Withdraw) == 0 {
		return
	}
	next.Customers = slices.Clone(next.Customers)
	for _, change := range p.Rates {
		if c := e.customer(next, "rates", change.Customer); c != nil {
			c.Rate = change.Rate
		}
	}
	for _, g := range p.Grant {
		if c := e.customer(next, "grant", g.Customer); c != nil {
			c.Keys = append(slices.Clone(c.Keys), g.Key)
		}
	}
	for _, w := range p.Withdraw {
		if c := e.customer(next, "withdraw", w.Customer); c != nil {
			e.withdraw(c, w)
		}
	}
}

// customer returns the customer with the name, for modification in place. It
// adds a problem and returns nil if there is none.
func (e *editor) customer(next *Config, field, name string) *Customer {
	i, ok := slices.BinarySearchFunc(next.Customers, name, func(c Customer, name string) int {
		return cmp.Compare(c.Name, name)
	})
	if !ok {
		e.Add(field, "", "names customer %q, which does not exist", name)
		return nil
	}
	return &next.Customers[i]
}

func (e *editor) withdraw(c *Customer, w Withdrawal) {
	i := slices.IndexFunc(c.Keys, func(k Key) bool { return k.ID == w.Key })
	if i < 0 {
		e.Add("withdraw", "", "names key %q, which customer %s does not have", w.Key, w.Customer)
		return
	}
	c.Keys = slices.Clone(c.Keys)
	c.Keys[i].Withdrawn = cmp.Or(w.Mode, WithdrawnFinish)
}

// updateRetired adds a problem for every withdrawn key that the patch would
// put back into force without listing its digest under reinstate. It sets the
// retired digests to those of keys that no customer lists any more.
func (e *editor) updateRetired(next *Config, p *Patch) {
	next.Retired = e.before.Retired
	if !p.changesKeys() {
		return
	}
	withdrawn := map[string]bool{}
	for _, digest := range e.before.Retired {
		withdrawn[digest] = true
	}
	for _, digest := range p.Retire {
		withdrawn[digest] = true
	}
	listedBefore := map[string]bool{}
	for i := range e.before.Customers {
		for _, k := range e.before.Customers[i].Keys {
			listedBefore[k.Digest] = true
			withdrawn[k.Digest] = withdrawn[k.Digest] || k.Withdrawn != ""
		}
	}
	for _, digest := range p.Reinstate {
		if !withdrawn[digest] {
			e.Add("reinstate", "the digest of a withdrawn key", "is not withdrawn")
		}
		delete(withdrawn, digest)
	}
	listedAfter := map[string]bool{}
	for i := range next.Customers {
		c := &next.Customers[i]
		for j, k := range c.Keys {
			listedAfter[k.Digest] = true
			if withdrawn[k.Digest] && k.Withdrawn == "" {
				e.Add("set.customers["+label(c.Name, i)+"].keys["+label(k.ID, j)+"]", "",
					"is withdrawn; name its digest under reinstate to put it back into force")
			}
		}
	}
	next.Retired = retiredDigests(withdrawn, listedBefore, listedAfter)
}

// changesKeys reports whether the patch can change the keys in force.
func (p *Patch) changesKeys() bool {
	return len(p.Set.Customers)+len(p.Remove.Customers)+len(p.Grant)+len(p.Withdraw)+
		len(p.Reinstate)+len(p.Retire) > 0
}

// retiredDigests returns the sorted digests of keys that were listed or
// withdrawn before the patch and are not listed after it.
func retiredDigests(withdrawn, listedBefore, listedAfter map[string]bool) []string {
	var list []string
	for digest, isWithdrawn := range withdrawn {
		if isWithdrawn && !listedAfter[digest] || listedBefore[digest] && !listedAfter[digest] {
			list = append(list, digest)
		}
	}
	slices.Sort(list)
	return list
}
