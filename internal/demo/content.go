package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
)

// Keys of the demo's callers.
const (
	hakataKey    = "demo-hakata-clerks"
	karatsuKey   = "demo-hakata-karatsu"
	saldoKey     = "demo-saldo-warehouse"
	withdrawnKey = "demo-saldo-office"
)

var allKeys = []string{hakataKey, karatsuKey, saldoKey, withdrawnKey}

// Rate and burst, in requests, that lowerRatePatch sets.
const (
	loweredRate  = 2
	loweredBurst = 6
)

func newKey(id, secret string) config.Key {
	sum := sha256.Sum256([]byte(secret))
	return config.Key{ID: id, Digest: hex.EncodeToString(sum[:])}
}

// configuration returns the first configuration of the demo.
func configuration(targets []config.Target) *config.Config {
	return &config.Config{
		Customers: []config.Customer{
			{
				Name: "bunraku", Keys: []config.Key{newKey("clerks", hakataKey)},
				Rate:   config.Rate{Requests: 500, RequestBurst: 1000, Tokens: 10e6, TokenBurst: 20e6},
				Routes: []string{"seat-verdict", "seat-hold"},
			},
			{
				Name: "karatsu", Keys: []config.Key{newKey("karatsu", karatsuKey)},
				Rate:   config.Rate{Requests: 50, RequestBurst: 100, Tokens: 1e6, TokenBurst: 2e6},
				Routes: []string{"seat-verdict"},
			},
			{
				Name: "remainders", Keys: []config.Key{newKey("warehouse", saldoKey), newKey("office", withdrawnKey)},
				Rate:   config.Rate{Requests: 500, RequestBurst: 1000, Tokens: 10e6, TokenBurst: 20e6},
				Routes: []string{"condition-verdict"},
			},
		},
		Routes: []config.Route{
			{
				Name: "seat-verdict", Kind: config.RouteModel, Pool: "kuroko-llm", Model: "kuroko", Version: "v1",
				Idempotent: true, Deadline: 5 * time.Second, Priority: 10, Queue: 100,
			},
			{
				Name: "condition-verdict", Kind: config.RouteModel, Pool: "verdict-llm", Model: "verdict", Version: "v1",
				Idempotent: true, Deadline: 5 * time.Second, Queue: 100,
			},
			{Name: "seat-hold", Kind: config.RouteService, Pool: "zaseki-app", Once: true, Deadline: 5 * time.Second, Queue: 100},
		},
		Models: []config.Model{
			{Name: "kuroko", Versions: []string{"v1", "v2"}, Piece: demoPieceBytes},
			{Name: "verdict", Versions: []string{"v1", "v2"}, Piece: demoPieceBytes},
		},
		Targets: targets,
	}
}

// Patches of the demo. The base version is filled in when a patch is sent.
const (
	lowerRatePatch = `
id: lower-karatsu
base: %d
rates:
  - customer: karatsu
    rate: {requests: 2, requestburst: 6, tokens: 100000, tokenburst: 200000}
`
	conflictPatch = `
id: late-operator
base: %d
rates:
  - customer: karatsu
    rate: {requests: 90, requestburst: 90, tokens: 100000, tokenburst: 200000}
`
	withdrawPatch = `
id: withdraw-office
base: %d
withdraw:
  - {customer: remainders, key: office, mode: cut}
`
)
