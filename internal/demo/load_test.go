package demo

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

func TestLoad(t *testing.T) {
	o := LoadOptions{Route: "seat-verdict", Profile: "hakata", Speed: 2, Duration: time.Second, PieceBytes: 256, Seed: 1}
	t.Run("the same seed sends the same prompts", func(t *testing.T) {
		list, err := o.arrivals()
		must.NoError(t, err)
		again, err := o.arrivals()
		must.NoError(t, err)
		must.Eq(t, o.prompt(list[0]), o.prompt(again[0]))
		must.Eq(t, len(list[0].Pieces)*o.PieceBytes, len(o.prompt(list[0])))
	})
	t.Run("unknown profile", func(t *testing.T) {
		bad := o
		bad.Profile = "none"
		must.ErrorContains(t, Load(t.Context(), bad, &bytes.Buffer{}), "permitted: hakata, saldo")
	})
	t.Run("against a fleet", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f, err := startFleet(ctx, 2, log.NewNopLogger())
		must.NoError(t, err)
		must.NoError(t, f.awaitReady(ctx))
		o.VMs = []string{f.vms[0].callers}
		o.Key = hakataKey
		var out bytes.Buffer
		must.NoError(t, Load(ctx, o, &out))
		must.StrContains(t, out.String(), "complete responses")
		must.StrNotContains(t, out.String(), hakataKey)
	})
}
