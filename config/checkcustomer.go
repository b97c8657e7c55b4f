package config

import (
	"fmt"
	"math"
)

func (c *checker) checkCustomers() {
	names := c.names()
	for i := range c.cfg.Customers {
		one := &c.cfg.Customers[i]
		at := "customers[" + label(one.Name, i) + "]"
		names.check(at, one.Name)
		c.checkKeys(at, one.Keys)
		c.checkRate(at+".rate", one.Rate)
		c.list(at+".routes", one.Routes)
		for j, name := range one.Routes {
			if c.routes[name] == nil {
				c.Add(fmt.Sprintf("%s.routes[%d]", at, j), "", "is %q, which is not a route", name)
			}
		}
	}
}

func (c *checker) checkKeys(at string, keys []Key) {
	ids := map[string]bool{}
	for i, k := range keys {
		field := at + ".keys[" + label(k.ID, i) + "]"
		c.name(field+".id", k.ID)
		if ids[k.ID] {
			c.Add(field+".id", "", "is used twice by the customer")
		}
		ids[k.ID] = true
		if !digestPattern.MatchString(k.Digest) {
			c.Add(field+".digest", permittedDigest, "is no digest")
		}
		if first, twice := c.digests[k.Digest]; twice {
			c.Add(field+".digest", "", "is that of %s too", first)
		}
		c.digests[k.Digest] = field
		if k.Withdrawn != "" {
			c.oneOf(field+".withdrawn", k.Withdrawn, WithdrawnFinish, WithdrawnCut)
		}
	}
}

func (c *checker) checkRate(at string, r Rate) {
	c.rate(at+".requests", r.Requests)
	c.rate(at+".tokens", r.Tokens)
	c.burst(at+".requestburst", r.RequestBurst)
	c.burst(at+".tokenburst", r.TokenBurst)
}

func (c *checker) rate(at string, v float64) {
	if !(v > 0 && v <= maxRate) {
		c.Add(at, "more than 0 a second", "is %v", v)
	}
}

// burst refuses bursts that do not hold one request of one token.
func (c *checker) burst(at string, v float64) {
	if !(v >= 1 && v <= maxRate) || math.IsNaN(v) {
		c.Add(at, "1 or more, so that one request fits", "is %v", v)
	}
}
