package settings

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestMemoryOfCallers guards against a part for callers that is more than the memory has, or
// that changes for VMs without a limit.
func TestMemoryOfCallers(t *testing.T) {
	decode := func(parts string) (Settings, error) {
		return Decode("vm.yaml", []byte(fmt.Sprintf("%sgateway: {ready: '127.0.0.1:1', directory: '127.0.0.1:2', %s}\n", validSettings, parts)))
	}
	for parts, bytes := range map[string]int64{
		"memory: 0": 0, "memory: 112": 42 << 20, "memory: 112, requests: 30": 30 << 20, "requests: 30": 30 << 20,
	} {
		s, err := decode(parts)
		must.NoError(t, err)
		must.Eq(t, bytes, s.Gateway.RequestBytes(), must.Sprint(parts))
	}
	for parts, field := range map[string]string{
		"requests: -1": "gateway.requests", "memory: 112, requests: 57": "gateway.requests", "connections: -1": "gateway.connections",
	} {
		_, err := decode(parts)
		must.ErrorContains(t, err, field)
	}
	must.True(t, Change{Name: "gateway.requests"}.Reloaded())
}
