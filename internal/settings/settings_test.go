package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const validSettings = `
vm: vm-1
region: kyushu
datacentre: hakata
callers: {address: "127.0.0.1:8080"}
operators: {address: "127.0.0.1:8081", token: token.txt}
peers: {address: "127.0.0.1:8082", secret: secret.txt}
platform: {address: "127.0.0.1:8083"}
`

// mustReject checks that the settings are rejected with an error that contains all
// given parts.
func mustReject(t *testing.T, data string, parts ...string) {
	t.Helper()
	_, err := Decode("vm.yaml", []byte(data))
	must.Error(t, err)
	for _, part := range parts {
		must.StrContains(t, err.Error(), part)
	}
}

func TestDecode(t *testing.T) {
	s, err := Decode("vm.yaml", []byte(validSettings))
	must.NoError(t, err)
	must.Eq(t, DefaultDirectoryTTL, s.Entry.TTL)
	must.Eq(t, int64(DefaultBodyBytes), s.Callers.MaxBodyBytes)
	must.Eq(t, 20*time.Second, s.Callers.BodyTimeout)

	t.Run("all problems are reported together", func(t *testing.T) {
		mustReject(t, `{vm: a}`, "region", "datacentre", "callers.address", "operators.token", "peers.secret", "IP:port")
	})
	t.Run("unknown field", func(t *testing.T) {
		mustReject(t, validSettings+"colour: red\n", "vm.yaml", "colour")
	})
	t.Run("negative duration", func(t *testing.T) {
		mustReject(t, validSettings+"entry: {ttl: -1s}\n", "entry.ttl")
	})
	t.Run("shards without slots", func(t *testing.T) {
		mustReject(t, validSettings+"limits: {shards: 4}\n", "limits", "both or neither")
	})
	t.Run("key without a certificate", func(t *testing.T) {
		mustReject(t, `{callers: {address: "vm.example:80", tls: {key: k.pem}}}`, "callers.tls", `"vm.example:80" is no address`)
	})
}

// TestDecodeGatewayParts guards against shares and quantiles out of range that take effect
// instead of being reported with the name of the field.
func TestDecodeGatewayParts(t *testing.T) {
	const gateway = `
vm: vm-1
region: kyushu
datacentre: hakata
callers: {address: "127.0.0.1:8080"}
operators: {address: "127.0.0.1:8081"}
peers: {address: "127.0.0.1:8082"}
platform: {address: "127.0.0.1:8083"}
gateway:
  ready: "127.0.0.1:8084"
  directory: "127.0.0.1:8085"
`
	s, err := Decode("vm.yaml", []byte(gateway+`  contracts: ["base", "pressure"]
  hedge: {requests: 0.02, tokens: 0.01}
`))
	must.NoError(t, err)
	must.Eq(t, Hedge{Requests: 0.02, Tokens: 0.01, Quantile: DefaultHedgeQuantile}, s.Gateway.Hedge)
	must.Eq(t, Canary{Share: DefaultCanaryShare, Rollback: DefaultCanaryRollback}, s.Gateway.Bounds.Canary)
	for field, line := range map[string]string{
		"gateway.bounds.canary.share":    "bounds: {canary: {share: 1.5}}",
		"gateway.bounds.canary.slack":    "bounds: {canary: {slack: -1}}",
		"gateway.bounds.canary.rollback": "bounds: {canary: {rollback: -1s}}",
		"gateway.hedge.requests":         "hedge: {requests: -0.1, tokens: 0.1}",
		"gateway.hedge.tokens":           "hedge: {requests: 0.1, tokens: 2}",
		"gateway.hedge.quantile":         "hedge: {requests: 0.1, tokens: 0.1, quantile: 0.2}",
		"gateway.hedge":                  "hedge: {requests: 0.1}",
		"gateway.hedge.routes":           `hedge: {requests: 0.1, tokens: 0.1, routes: [chat, " "]}`,
		"gateway.hedge.routes[chat]":     "hedge: {requests: 0.1, tokens: 0.1, routes: [{name: chat}]}",
		"gateway.hedge.routes[1]":        "hedge: {requests: 0.1, tokens: 0.1, routes: [chat, 7]}",
		"admission":                      "admission: [1]",
	} {
		t.Run(field, func(t *testing.T) { mustReject(t, gateway+"  "+line+"\n", field) })
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("vm: [1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode("vm.yaml", data)
		if err == nil {
			must.True(t, isAddress(s.Callers.Address))
		}
	})
}
