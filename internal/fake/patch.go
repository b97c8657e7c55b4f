package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// smallFleetPatch is the initial configuration patch of a small fleet: two
// engines, one service and one customer with one key.
const smallFleetPatch = `
id: first
base: 0
set:
  models:
    - {name: kuroko, versions: [v1], piece: 64}
  routes:
    - {name: verdict, kind: model, pool: llm, model: kuroko, version: v1, idempotent: true, deadline: 20s, queue: 100}
    - {name: hold, kind: service, pool: app, once: true, deadline: 20s, queue: 100}
  customers:
    - name: bunraku
      keys: [{id: k1, digest: %s}]
      rate: {requests: 500, requestburst: 500, tokens: 100000, tokenburst: 100000}
      routes: [verdict, hold]
  targets:
    - {name: engine-1, kind: engine, pool: llm, address: "%s", datacentre: hakata, slots: 8}
    - {name: engine-2, kind: engine, pool: llm, address: "%s", datacentre: kokura, slots: 8}
    - {name: app-1, kind: service, pool: app, address: "%s", datacentre: hakata, slots: 8}
`

// SmallFleetPatch returns the initial configuration patch of a small fleet, in
// YAML, for the key of its customer and the addresses of its engines and service.
func SmallFleetPatch(secret string, engines [2]string, service string) string {
	return fmt.Sprintf(smallFleetPatch, Digest(secret), engines[0], engines[1], service)
}

// Digest returns the digest of a secret in the format of the configuration.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
