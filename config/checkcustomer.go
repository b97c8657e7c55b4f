package config

import (
	"fmt"
	"math"
)

func (c *checker) checkCustomers() {
	names := c.newNameSet()
	for i := range c.cfg.Customers {
		customer := &c.cfg.Customers[i]
		path := "customers[" + label(customer.Name, i) + "]"
		names.check(path, customer.Name)
		c.checkKeys(path, customer.Keys)
		c.checkRate(path+".rate", customer.Rate)
		c.checkNames(path+".routes", customer.Routes)
		for j, name := range customer.Routes {
			if c.routes[name] == nil {
				c.Add(fmt.Sprintf("%s.routes[%d]", path, j), "", "is %q, which is not a route", name)
			}
		}
	}
}

func (c *checker) checkKeys(path string, keys []Key) {
	ids := map[string]bool{}
	for i, k := range keys {
		field := path + ".keys[" + label(k.ID, i) + "]"
		c.checkName(field+".id", k.ID)
		if ids[k.ID] {
			c.Add(field+".id", "", "is used twice by the customer")
		}
		ids[k.ID] = true
		if !digestPattern.MatchString(k.Digest) {
			c.Add(field+".digest", permittedDigest, "is no digest")
		}
		if first, duplicate := c.digests[k.Digest]; duplicate {
			c.Add(field+".digest", "", "is that of %s too", first)
		}
		c.digests[k.Digest] = field
		if k.Withdrawn != "" {
			c.checkOneOf(field+".withdrawn", k.Withdrawn, WithdrawnFinish, WithdrawnCut)
		}
	}
}

func (c *checker) checkRate(path string, r Rate) {
	c.checkRateValue(path+".requests", r.Requests)
	c.checkRateValue(path+".tokens", r.Tokens)
	c.checkBurst(path+".requestburst", r.RequestBurst)
	c.checkBurst(path+".tokenburst", r.TokenBurst)
}

func (c *checker) checkRateValue(path string, v float64) {
	if !(v > 0 && v <= maxRate) {
		c.Add(path, "more than 0 a second", "is %v", v)
	}
}

// checkBurst refuses bursts that are too small for one request of one token.
func (c *checker) checkBurst(path string, v float64) {
	if !(v >= 1 && v <= maxRate) || math.IsNaN(v) {
		c.Add(path, "1 or more, so that one request fits", "is %v", v)
	}
}
