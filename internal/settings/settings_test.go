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
