package node

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestIdleConnectionsUseAllDescriptors guards against idle connections that are kept for longer
// than the configuration allows, until the VM accepts none any more.
func TestIdleConnectionsUseAllDescriptors(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	b.version++
	text := fmt.Sprintf(configuration, b.version, 0, 0)
	b.store.PutRaw("config", "main", []byte(strings.Replace(text, "{", `{"limits":{"idleTimeoutMs":500,"headerTimeoutMs":400},`, 1)))
	version := int64(b.version)
	eventually(t, func() bool { return v.source.View().Config.Version == version })
	c := v.dial()
	_, err := io.WriteString(c, rawRequest("/lookup/", "r", 0))
	must.NoError(t, err)
	// Without the limit the connection outlives the read deadline.
	must.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.Copy(io.Discard, c)
	must.NoError(t, err)
}
