package config

import (
	"strconv"

	"github.com/goccy/go-yaml"
)

// FirstPatch returns the patch that makes cfg version 1, the first
// configuration.
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

// EncodePatch encodes a patch in the YAML format that DecodePatch reads.
func EncodePatch(p Patch) ([]byte, error) {
	plain := func(v float64) ([]byte, error) { return strconv.AppendFloat(nil, v, 'f', -1, 64), nil }
	return yaml.MarshalWithOptions(p, yaml.CustomMarshaler(plain))
}
