package config

import (
	"fmt"
	"slices"
)

func (c *checker) checkRoutes() {
	names := c.newNameSet()
	for i := range c.cfg.Routes {
		r := &c.cfg.Routes[i]
		path := "routes[" + label(r.Name, i) + "]"
		names.check(path, r.Name)
		c.checkOneOf(path+".kind", r.Kind, RouteModel, RouteService)
		c.checkPool(path, r)
		c.checkRouteModel(path, r)
		if r.Deadline <= 0 || r.Deadline > MaxDeadline {
			c.Add(path+".deadline", fmt.Sprintf("more than 0, at most %v", MaxDeadline), "is %v", r.Deadline)
		}
		if r.Once && r.Idempotent {
			c.Add(path+".once", "", "contradicts idempotent: a request runs at most once, or may run again")
		}
		if r.Queue < 0 {
			c.Add(path+".queue", "0 or more", "is %d", r.Queue)
		}
		for j, h := range r.Secrets {
			if !headerPattern.MatchString(h) {
				c.Add(fmt.Sprintf("%s.secrets[%d]", path, j), permittedHeader, "is %q", h)
			}
		}
	}
}

// checkPool checks that the pool contains a target that can serve the route.
func (c *checker) checkPool(path string, r *Route) {
	kind := TargetEngine
	if r.Kind == RouteService {
		kind = TargetService
	}
	for _, t := range c.pools[r.Pool] {
		if t.Kind == kind {
			return
		}
	}
	var pools []string
	for name := range c.pools {
		pools = append(pools, name)
	}
	if len(c.pools[r.Pool]) == 0 {
		c.Add(path+".pool", firstNames(pools), "is %q, which no target is in", r.Pool)
		return
	}
	c.Add(path+".pool", "", "is %q, which holds no target of kind %s", r.Pool, kind)
}

// checkRouteModel checks the model, version and adapters of a route.
func (c *checker) checkRouteModel(path string, r *Route) {
	if r.Kind != RouteModel {
		if r.Model != "" || r.Version != "" || len(r.Adapters) > 0 {
			c.Add(path+".model", "", "is for routes of kind model only, as are version and adapters")
		}
		return
	}
	m := c.models[r.Model]
	if m == nil {
		var models []string
		for name := range c.models {
			models = append(models, name)
		}
		c.Add(path+".model", firstNames(models), "is %q, which is not a model", r.Model)
		return
	}
	if !slices.Contains(m.Versions, r.Version) {
		c.Add(path+".version", firstNames(m.Versions), "is %q, which model %s does not have", r.Version, m.Name)
	}
	c.checkNames(path+".adapters", r.Adapters)
	for j, a := range r.Adapters {
		if !slices.Contains(m.Adapters, a) {
			c.Add(fmt.Sprintf("%s.adapters[%d]", path, j), firstNames(m.Adapters),
				"is %q, which model %s does not have", a, m.Name)
		}
	}
}
