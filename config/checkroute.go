package config

import (
	"fmt"
	"slices"
)

func (c *checker) checkRoutes() {
	names := c.names()
	for i := range c.cfg.Routes {
		r := &c.cfg.Routes[i]
		at := "routes[" + label(r.Name, i) + "]"
		names.check(at, r.Name)
		c.oneOf(at+".kind", r.Kind, RouteModel, RouteService)
		c.checkPool(at, r)
		c.checkModelOf(at, r)
		if r.Deadline <= 0 || r.Deadline > MaxDeadline {
			c.Add(at+".deadline", fmt.Sprintf("more than 0, at most %v", MaxDeadline), "is %v", r.Deadline)
		}
		if r.Once && r.Idempotent {
			c.Add(at+".once", "", "contradicts idempotent: a request runs at most once, or may run again")
		}
		if r.Queue < 0 {
			c.Add(at+".queue", "0 or more", "is %d", r.Queue)
		}
		for j, h := range r.Secrets {
			if !headerPattern.MatchString(h) {
				c.Add(fmt.Sprintf("%s.secrets[%d]", at, j), permittedHeader, "is %q", h)
			}
		}
	}
}

// checkPool checks that the pool holds a target that can serve the route.
func (c *checker) checkPool(at string, r *Route) {
	want := TargetEngine
	if r.Kind == RouteService {
		want = TargetService
	}
	for _, t := range c.pools[r.Pool] {
		if t.Kind == want {
			return
		}
	}
	var pools []string
	for name := range c.pools {
		pools = append(pools, name)
	}
	if len(c.pools[r.Pool]) == 0 {
		c.Add(at+".pool", some(pools), "is %q, which no target is in", r.Pool)
		return
	}
	c.Add(at+".pool", "", "is %q, which holds no target of kind %s", r.Pool, want)
}

// checkModelOf checks the model, version and adapters of a route.
func (c *checker) checkModelOf(at string, r *Route) {
	if r.Kind != RouteModel {
		if r.Model != "" || r.Version != "" || len(r.Adapters) > 0 {
			c.Add(at+".model", "", "is for routes of kind model only, as are version and adapters")
		}
		return
	}
	m := c.models[r.Model]
	if m == nil {
		var models []string
		for name := range c.models {
			models = append(models, name)
		}
		c.Add(at+".model", some(models), "is %q, which is not a model", r.Model)
		return
	}
	if !slices.Contains(m.Versions, r.Version) {
		c.Add(at+".version", some(m.Versions), "is %q, which model %s does not have", r.Version, m.Name)
	}
	c.list(at+".adapters", r.Adapters)
	for j, a := range r.Adapters {
		if !slices.Contains(m.Adapters, a) {
			c.Add(fmt.Sprintf("%s.adapters[%d]", at, j), some(m.Adapters),
				"is %q, which model %s does not have", a, m.Name)
		}
	}
}
