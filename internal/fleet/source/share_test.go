package source

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
)

// TestPositionsOfEarlierBuild guards against updates that VMs of a build that reads one kind
// less cannot decode, or whose updates this one cannot.
func TestPositionsOfEarlierBuild(t *testing.T) {
	earlier := [kinds - 1]Position{{At: 1, Hash: 2}, {At: 3}, {At: 4}}
	data, err := cbor.Marshal(earlier)
	must.NoError(t, err)
	var got Positions
	must.NoError(t, cbor.Unmarshal(data, &got))
	must.Eq(t, Positions{{At: 1, Hash: 2}, {At: 3}, {At: 4}}, got)

	data, err = cbor.Marshal(Positions{{At: 1}, {At: 2}, {At: 3}, {At: 4}})
	must.NoError(t, err)
	must.NoError(t, cbor.Unmarshal(data, &earlier))
	must.Eq(t, [kinds - 1]Position{{At: 1}, {At: 2}, {At: 3}}, earlier)
}
