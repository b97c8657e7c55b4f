package roster

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/store"
)

// TestRegistrationLostByStore guards against a VM that other VMs no longer find,
// because the object store was restored from a copy that lacks its registration or
// has that of its incarnation before.
func TestRegistrationLostByStore(t *testing.T) {
	for name, restored := range map[string]string{"missing": "", "of an earlier start": `{"vm":"a","born":3,"peers":"a:1"}`} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.NewMemory()
				task := NewTask(Options{Self: entry("a", 5, 0), Store: s, Log: log.NewNopLogger()})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					task.register(ctx)
				}()
				defer func() {
					cancel()
					<-done
				}()
				registered := func() (r registration, version int64) {
					o, err := s.Get(t.Context(), Kind+"/a")
					must.NoError(t, err)
					must.NoError(t, json.Unmarshal(o.Value, &r))
					return r, o.Version
				}
				time.Sleep(time.Second)
				r, version := registered()
				must.Eq(t, 5, r.Born)

				if restored == "" {
					s.Delete(t.Context(), Kind+"/a", version)
				} else {
					s.Put(t.Context(), Kind+"/a", []byte(restored), version)
				}
				time.Sleep(2 * listInterval)
				r, version = registered()
				must.Eq(t, 5, r.Born)
				time.Sleep(4 * listInterval)
				_, unchanged := registered()
				must.Eq(t, version, unchanged, must.Sprint("it is written only if it is missing"))
			})
		})
	}
}
