package node

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// TestRepeatedRefusalIsNotTheResponse guards against a request that counts as not run, and
// runs elsewhere, because its target wrote an earlier refusal once more.
func TestRepeatedRefusalIsNotTheResponse(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	targets := append(b.apps[:], b.engines[:]...)
	for refusal, anonymous := range map[string]bool{"with an id": false, "without an id": true} {
		for when, repeat := range map[string]fake.SiteMode{
			"before the response": fake.SiteRepeatBefore, "twice": fake.SiteRepeatTwice,
			"before the request is read": fake.SiteRepeatEarly, "after the response": fake.SiteRepeatAfter,
		} {
			for _, path := range []string{"/lookup/", "/commit/", "/stream/a/", "/stream/b/"} {
				t.Run(refusal+" "+when+" "+path, func(t *testing.T) {
					for _, target := range targets {
						target.SetAnonymousRepeats(anonymous)
						target.SetMode(fake.SiteReject)
					}
					must.Eq(t, http.StatusServiceUnavailable, v.request(path, "earlier").status)
					for _, target := range targets {
						target.SetMode(repeat)
					}
					for _, id := range []string{"own-1", "own-2", "own-3"} {
						before := runs(b.apps) + runs(b.engines)
						got := v.request(path, id)
						must.NoError(t, got.err)
						must.Eq(t, http.StatusOK, got.status)
						must.Eq(t, id, got.header.Get("Baobabdyke-Request-Id"))
						must.Eq(t, 1, runs(b.apps)+runs(b.engines)-before)
					}
				})
			}
		}
	}
}
