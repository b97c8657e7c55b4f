package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const good = `
vm: vm-1
region: kyushu
datacentre: hakata
callers: {address: "127.0.0.1:8080"}
operators: {address: "127.0.0.1:8081", token: token.txt}
peers: {address: "127.0.0.1:8082", secret: secret.txt}
platform: {address: "127.0.0.1:8083"}
`

// mustSay checks that the settings are refused with every given part.
func mustSay(t *testing.T, data string, parts ...string) {
	t.Helper()
	_, err := Decode("vm.yaml", []byte(data))
	must.Error(t, err)
	for _, part := range parts {
		must.StrContains(t, err.Error(), part)
	}
}

func TestDecode(t *testing.T) {
	s, err := Decode("vm.yaml", []byte(good))
	must.NoError(t, err)
	must.Eq(t, DefaultTTL, s.Entry.TTL)
	must.Eq(t, int64(DefaultBodyBytes), s.Callers.MaxBodyBytes)
	must.Eq(t, 20*time.Second, s.Callers.BodyTimeout)

	t.Run("all problems at once", func(t *testing.T) {
		mustSay(t, `{vm: a}`, "region", "datacentre", "callers.address", "operators.token", "peers.secret", "IP:port")
	})
	t.Run("unknown field", func(t *testing.T) {
		mustSay(t, good+"colour: red\n", "vm.yaml", "colour")
	})
	t.Run("a name for an address", func(t *testing.T) {
		mustSay(t, good+"entry: {ttl: -1s}\n", "entry.ttl")
	})
	t.Run("half of a layout", func(t *testing.T) {
		mustSay(t, good+"limits: {shards: 4}\n", "limits", "both or neither")
	})
	t.Run("half of a certificate", func(t *testing.T) {
		mustSay(t, `{callers: {address: "vm.example:80", tls: {key: k.pem}}}`, "callers.tls", `"vm.example:80" is no address`)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("vm: [1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode("vm.yaml", data)
		if err == nil {
			must.True(t, isAddress(s.Callers.Address))
		}
	})
}
