package config

// FirstPatch returns the patch that makes cfg the first configuration.
func FirstPatch(cfg *Config) Patch {
	p := Patch{
		Set: Items{
			Customers: cfg.Customers, Routes: cfg.Routes, Models: cfg.Models, Targets: cfg.Targets,
		},
		Retire: cfg.Retired,
	}
	p.ID = "import-" + p.digest()[:16]
	return p
}
