package config

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// TestFirstPatchRoundTrip checks that an encoded patch decodes to the same
// patch, including large numbers and durations.
func TestFirstPatchRoundTrip(t *testing.T) {
	for _, name := range []string{"hakata", "saldo"} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("../examples/" + name + ".yaml")
			must.NoError(t, err)
			cfg, err := Decode(name, data)
			must.NoError(t, err)
			want := FirstPatch(cfg)
			data, err = EncodePatch(want)
			must.NoError(t, err)
			got, err := DecodePatch("patch", data)
			must.NoError(t, err)
			must.Eq(t, want.digest(), got.digest())
		})
	}
}
