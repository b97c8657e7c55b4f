package config

// A View is a Config with indexes for looking up items while serving requests.
// It is immutable.
type View struct {
	*Config
	customers map[string]*Customer
	keys      map[string]keyOwner
	routes    map[string]*Route
	models    map[string]*Model
	pools     map[string][]*Target
}

type keyOwner struct {
	customer *Customer
	key      *Key
}

// NewView returns a View of cfg, which must not be modified afterwards.
func NewView(cfg *Config) *View {
	v := &View{
		Config:    cfg,
		customers: make(map[string]*Customer, len(cfg.Customers)),
		keys:      map[string]keyOwner{},
		routes:    make(map[string]*Route, len(cfg.Routes)),
		models:    make(map[string]*Model, len(cfg.Models)),
		pools:     map[string][]*Target{},
	}
	for i := range cfg.Customers {
		c := &cfg.Customers[i]
		v.customers[c.Name] = c
		for j := range c.Keys {
			v.keys[c.Keys[j].Digest] = keyOwner{customer: c, key: &c.Keys[j]}
		}
	}
	for i := range cfg.Routes {
		v.routes[cfg.Routes[i].Name] = &cfg.Routes[i]
	}
	for i := range cfg.Models {
		v.models[cfg.Models[i].Name] = &cfg.Models[i]
	}
	for i := range cfg.Targets {
		t := &cfg.Targets[i]
		v.pools[t.Pool] = append(v.pools[t.Pool], t)
	}
	return v
}

// Customer returns the customer with the given name, or nil.
func (v *View) Customer(name string) *Customer { return v.customers[name] }

// KeyByDigest returns the key with the given digest and its customer, or nil.
func (v *View) KeyByDigest(digest string) (*Customer, *Key) {
	owner := v.keys[digest]
	return owner.customer, owner.key
}

// Model returns the model with the given name, or nil.
func (v *View) Model(name string) *Model { return v.models[name] }

// Pool returns the targets of a pool in configuration order.
func (v *View) Pool(name string) []*Target { return v.pools[name] }

// Route returns the route with the given name, or nil.
func (v *View) Route(name string) *Route { return v.routes[name] }
