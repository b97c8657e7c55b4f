package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/store"
)

// Number of buckets for the items of each kind. All VMs must use the same
// numbers, or they compute different roots for the same configuration.
const (
	customerBuckets = 64
	routeBuckets    = 8
	modelBuckets    = 1
	targetBuckets   = 8
	retiredBuckets  = 8
)

// A bucket identifies a subset of the items of one kind, selected by the hash
// of the item's name.
type bucket struct {
	Kind   string `json:"kind" cbor:"1,keyasint"`
	Number int    `json:"number" cbor:"2,keyasint"`
}

// Values of bucket.Kind.
const (
	kindCustomers = "customers"
	kindRoutes    = "routes"
	kindModels    = "models"
	kindTargets   = "targets"
	kindRetired   = "retired"
)

func bucketOf(kind, name string, n int) bucket {
	return bucket{Kind: kind, Number: int(xxhash.Sum64String(name) % uint64(n))}
}

// A ChunkRef identifies a chunk by its bucket and the digest of its content.
type ChunkRef struct {
	bucket
	Digest string `json:"digest" cbor:"3,keyasint"`
}

// An index lists the chunks of a configuration, sorted by bucket. The digest
// of the index is the root of the configuration.
type index []ChunkRef

// A chunk is the content of one bucket, with items sorted by name.
type chunk struct {
	Customers []Customer `json:"customers,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Models    []Model    `json:"models,omitempty"`
	Targets   []Target   `json:"targets,omitempty"`
	Retired   []string   `json:"retired,omitempty"`
}

// split divides a configuration into one chunk for each bucket.
func split(cfg *Config) map[bucket]*chunk {
	parts := map[bucket]*chunk{}
	chunkOf := func(b bucket) *chunk {
		if parts[b] == nil {
			parts[b] = &chunk{}
		}
		return parts[b]
	}
	for _, c := range cfg.Customers {
		p := chunkOf(bucketOf(kindCustomers, c.Name, customerBuckets))
		p.Customers = append(p.Customers, c)
	}
	for _, r := range cfg.Routes {
		p := chunkOf(bucketOf(kindRoutes, r.Name, routeBuckets))
		p.Routes = append(p.Routes, r)
	}
	for _, m := range cfg.Models {
		p := chunkOf(bucketOf(kindModels, m.Name, modelBuckets))
		p.Models = append(p.Models, m)
	}
	for _, t := range cfg.Targets {
		p := chunkOf(bucketOf(kindTargets, t.Name, targetBuckets))
		p.Targets = append(p.Targets, t)
	}
	for _, d := range cfg.Retired {
		p := chunkOf(bucketOf(kindRetired, d, retiredBuckets))
		p.Retired = append(p.Retired, d)
	}
	return parts
}

// assemble merges the chunks of a version into a configuration.
func assemble(version int64, parts map[bucket]*chunk) *Config {
	cfg := &Config{Version: version}
	for _, b := range slices.SortedFunc(maps.Keys(parts), compareBuckets) {
		p := parts[b]
		cfg.Customers = append(cfg.Customers, p.Customers...)
		cfg.Routes = append(cfg.Routes, p.Routes...)
		cfg.Models = append(cfg.Models, p.Models...)
		cfg.Targets = append(cfg.Targets, p.Targets...)
		cfg.Retired = append(cfg.Retired, p.Retired...)
	}
	slices.SortFunc(cfg.Customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(cfg.Retired)
	return cfg
}

func compareBuckets(a, b bucket) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Number, b.Number))
}

// encodeChunk returns the stored form of a chunk and its digest.
func encodeChunk(v any) (data []byte, digest string, err error) {
	data, err = json.Marshal(v)
	if err != nil {
		return nil, "", eris.Wrap(err, "encode chunk")
	}
	if len(data) > store.MaxValueBytes {
		return nil, "", eris.Errorf("chunk of %d bytes exceeds %d", len(data), store.MaxValueBytes)
	}
	return data, digestOf(data), nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// decodeChunk verifies the digest of a chunk and decodes it.
func decodeChunk(data []byte, digest string, into any) error {
	if got := digestOf(data); got != digest {
		return eris.Errorf("chunk %s has digest %s", digest, got)
	}
	return eris.Wrapf(json.Unmarshal(data, into), "decode chunk %s", digest)
}
