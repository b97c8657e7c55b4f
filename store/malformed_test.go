package store_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/store"
)

// TestMalformedResponseIsNews guards against a malformed response of the platform that is
// taken for an object, for its absence, or for the outcome of a write.
func TestMalformedResponseIsNews(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":                       "HTTP/1.1 000 None\r\n",
		"status 101":                       "HTTP/1.1 101 Switching Protocols\r\n",
		"a blank in a name":                "HTTP/1.1 200 OK\r\nX Y: z\r\n",
		"a blank after a name":             "HTTP/1.1 200 OK\r\nX : z\r\n",
		"a blank in a name, no object":     "HTTP/1.1 404 Not Found\r\nX Y: z\r\n",
		"a blank in a name, a conflict":    "HTTP/1.1 409 Conflict\r\nX Y: z\r\n",
		"a blank in a name, not permitted": "HTTP/1.1 503 Service Unavailable\r\nX Y: z\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			platform := &fake.Script{Response: head + store.HeaderVersion + ": 7\r\nContent-Length: 2\r\n\r\n[]"}
			address, err := platform.Start(t.Context())
			must.NoError(t, err)
			s, err := store.NewHTTPStore(store.HTTPOptions{Base: "http://" + address})
			must.NoError(t, err)
			_, err = s.Get(t.Context(), "a/b")
			must.ErrorIs(t, err, store.ErrUnavailable)
			_, err = s.List(t.Context(), "a/")
			must.ErrorIs(t, err, store.ErrUnavailable)
			_, err = s.Watch(t.Context(), "a/", 0)
			must.ErrorIs(t, err, store.ErrUnavailable)
			for _, result := range []store.WriteResult{s.Put(t.Context(), "a/b", []byte("x"), 1), s.Delete(t.Context(), "a/b", 1)} {
				_, ok := result.(store.Unknown)
				must.True(t, ok, must.Sprintf("%#v", result))
			}
		})
	}
}
