package customer_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/customer"
)

const (
	hakataKey = "hakata-secret"
	saldoKey  = "saldo-secret"
)

// view returns a configuration with two customers. Withdrawn is the state of the
// key of customer hakata.
func view(version int64, withdrawn string) *config.View {
	key := func(id, secret, state string) []config.Key {
		return []config.Key{{ID: id, Digest: customer.Digest(secret), Withdrawn: state}}
	}
	return config.NewView(&config.Config{
		Version: version,
		Customers: []config.Customer{
			{Name: "hakata", Keys: key("h1", hakataKey, withdrawn), Routes: []string{"seats"}},
			{Name: "saldo", Keys: key("s1", saldoKey, ""), Routes: []string{"pallets"}},
		},
		Routes: []config.Route{
			{Name: "seats", Secrets: []string{"X-Seat-Key"}},
			{Name: "pallets"},
			{Name: "lobby", Open: true},
		},
	})
}

func request(edit func(r *http.Request)) *http.Request {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/v1/chat/completions?seat=4", strings.NewReader("{}"))
	edit(r)
	return r
}

func header(name string, values ...string) func(*http.Request) {
	return func(r *http.Request) {
		for _, v := range values {
			r.Header.Add(name, v)
		}
	}
}

func mustGrant(t *testing.T, want string, v customer.Verdict) customer.Grant {
	t.Helper()
	g, ok := v.(customer.Granted)
	must.True(t, ok, must.Sprintf("got %#v", v))
	must.Eq(t, want, g.Grant.Customer)
	return g.Grant
}

func mustDeny(t *testing.T, status int, reason string, v customer.Verdict) {
	t.Helper()
	must.Eq[customer.Verdict](t, customer.Denied{Status: status, Reason: reason}, v)
}

func TestAuthorizeFindsKey(t *testing.T) {
	basic := "Basic " + base64.StdEncoding.EncodeToString([]byte("clerk:"+hakataKey))
	for name, edit := range map[string]func(*http.Request){
		"bearer":               header("Authorization", "Bearer "+hakataKey),
		"bearer in lower case": header("Authorization", "bearer  "+hakataKey),
		"basic":                header("Authorization", basic),
		"proxy":                header("Proxy-Authorization", "Bearer "+hakataKey),
		"x-api-key":            header("x-api-key", hakataKey),
		"header of the route":  header("X-Seat-Key", hakataKey),
		"cookie":               header("Cookie", "theme=dark; api_key="+hakataKey),
		"same key in two places": func(r *http.Request) {
			header("Authorization", "Bearer "+hakataKey)(r)
			header("X-Api-Key", hakataKey)(r)
		},
		"other cookies are ignored": func(r *http.Request) { header("Cookie", "session=1")(r); header("X-Api-Key", hakataKey)(r) },
	} {
		t.Run(name, func(t *testing.T) {
			g := mustGrant(t, "hakata", customer.Authorize(view(3, ""), request(edit), "seats"))
			must.Eq(t, "h1", g.KeyID)
			must.Eq(t, int64(3), g.Version)
		})
	}
}

func TestAuthorizeRefuses(t *testing.T) {
	both := func(r *http.Request) {
		header("Authorization", "Bearer "+hakataKey)(r)
		header("X-Api-Key", saldoKey)(r)
	}
	query := func(q string) func(*http.Request) {
		return func(r *http.Request) { r.URL.RawQuery = q; header("X-Api-Key", hakataKey)(r) }
	}
	for name, c := range map[string]struct {
		route  string
		edit   func(*http.Request)
		status int
		reason string
	}{
		"no key":                       {"seats", header("Accept", "*/*"), 401, customer.ReasonNoKey},
		"empty key":                    {"seats", header("X-Api-Key", " "), 401, customer.ReasonNoKey},
		"unknown key":                  {"seats", header("X-Api-Key", "guess"), 401, customer.ReasonUnknownKey},
		"digest as key":                {"seats", header("X-Api-Key", customer.Digest(hakataKey)), 401, customer.ReasonUnknownKey},
		"malformed":                    {"seats", header("Authorization", hakataKey), 401, customer.ReasonMalformedCredentials},
		"malformed basic":              {"seats", header("Authorization", "Basic !"), 401, customer.ReasonMalformedCredentials},
		"list of keys":                 {"seats", header("Authorization", "Bearer a, Bearer b"), 401, customer.ReasonMalformedCredentials},
		"two keys":                     {"seats", both, 400, customer.ReasonMultipleKeys},
		"repeated header":              {"seats", header("X-Api-Key", hakataKey, saldoKey), 400, customer.ReasonMultipleKeys},
		"key in query":                 {"seats", query("api_key=" + hakataKey), 400, customer.ReasonKeyInQuery},
		"escaped query":                {"seats", query("a=1;%61pi_key=x"), 400, customer.ReasonKeyInQuery},
		"header of the route in query": {"seats", query("x-seat-key=x"), 400, customer.ReasonKeyInQuery},
		"key in trailer":               {"seats", header("Trailer", "X-Sum, X-Api-Key"), 400, customer.ReasonKeyInTrailer},
		"key in received trailer": {"seats", func(r *http.Request) {
			r.Trailer = http.Header{"Authorization": {"Bearer " + hakataKey}}
		}, 400, customer.ReasonKeyInTrailer},
		"route not permitted": {"pallets", header("X-Api-Key", hakataKey), 403, customer.ReasonRouteNotPermitted},
		"unknown route":       {"balcony", header("X-Api-Key", hakataKey), 404, customer.ReasonNoRoute},
	} {
		t.Run(name, func(t *testing.T) {
			mustDeny(t, c.status, c.reason, customer.Authorize(view(1, ""), request(c.edit), c.route))
		})
	}
}

func TestWithdrawal(t *testing.T) {
	keyed := request(header("X-Api-Key", hakataKey))
	grant := mustGrant(t, "hakata", customer.Authorize(view(1, ""), keyed, "seats"))
	for state, cut := range map[string]bool{config.WithdrawnFinish: false, config.WithdrawnCut: true} {
		t.Run(state, func(t *testing.T) {
			after := view(2, state)
			mustDeny(t, 401, customer.ReasonWithdrawn, customer.Authorize(after, keyed, "seats"))
			mustDeny(t, 401, customer.ReasonWithdrawn, customer.Check(after, grant))
			must.Eq(t, cut, customer.MustAbort(after, grant))
		})
	}
	t.Run("a key that was removed from the configuration is refused", func(t *testing.T) {
		mustDeny(t, 401, customer.ReasonUnknownKey, customer.Check(config.NewView(&config.Config{
			Version: 2, Routes: []config.Route{{Name: "seats"}},
		}), grant))
	})
	t.Run("a key that was reassigned to another customer is refused", func(t *testing.T) {
		moved := config.NewView(&config.Config{
			Version: 2, Routes: []config.Route{{Name: "seats"}},
			Customers: []config.Customer{{Name: "other", Routes: []string{"seats"}, Keys: []config.Key{{ID: "h1", Digest: customer.Digest(hakataKey)}}}},
		})
		mustDeny(t, 401, customer.ReasonOtherCustomer, customer.Check(moved, grant))
	})
	t.Run("an open route ignores an unknown key", func(t *testing.T) {
		g := mustGrant(t, "", customer.Authorize(view(1, ""), request(header("X-Api-Key", "guess")), "lobby"))
		mustGrant(t, "", customer.Check(view(2, ""), g))
		must.False(t, customer.MustAbort(view(2, config.WithdrawnCut), g))
	})
}

func TestStrip(t *testing.T) {
	h := http.Header{
		"Authorization": {"Bearer k"}, "Proxy-Authorization": {"Bearer k"}, "X-Api-Key": {"k"},
		"Cookie": {"api_key=k"}, "X-Seat-Key": {"k"}, "X_api_key": {"k"}, "Connection": {"X-Mine, keep-alive"},
		"X-Mine": {"k"}, "Keep-Alive": {"1"}, "Transfer-Encoding": {"chunked"}, "Trailer": {"X-Api-Key"},
		"Upgrade": {"h2c"}, "Te": {"trailers"}, "Accept": {"text/event-stream"},
	}
	u, err := url.Parse("http://user:k@h/v1?seat=4&API_KEY=k;x-seat-key=k&row=2#k")
	must.NoError(t, err)
	customer.Strip(h, u, []string{"x-seat-key"})
	must.Eq(t, http.Header{"Accept": {"text/event-stream"}}, h)
	must.Eq(t, "http://h/v1?seat=4&row=2", u.String())

	trailer := http.Header{"X-Api-Key": {"k"}, "x-seat-key": {"k"}, "X-Sum": {"1"}}
	customer.StripTrailer(trailer, []string{"X-Seat-Key"})
	must.Eq(t, http.Header{"X-Sum": {"1"}}, trailer)
}

func TestSecretsAreNotPrinted(t *testing.T) {
	verdict := customer.Authorize(view(1, ""), request(header("X-Api-Key", hakataKey)), "seats")
	grant := mustGrant(t, "hakata", verdict)
	dump, err := json.Marshal(map[string]any{"grant": grant})
	must.NoError(t, err)
	for _, printed := range []string{
		fmt.Sprint(grant), fmt.Sprintf("%+v %#v %q", grant, grant, grant),
		fmt.Sprintf("%+v %#v", verdict, verdict), string(dump),
	} {
		must.StrNotContains(t, printed, customer.Digest(hakataKey))
		must.StrNotContains(t, printed, hakataKey)
		must.StrContains(t, printed, "h1")
	}
}

func ExampleAuthorize() {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/v1/chat/completions", nil)
	r.Header.Set("Authorization", "Bearer "+hakataKey)
	switch verdict := customer.Authorize(view(1, ""), r, "seats").(type) {
	case customer.Granted:
		fmt.Println("runs for", verdict.Grant.Customer)
	case customer.Denied:
		fmt.Println(verdict.Status, verdict.Reason)
	}
	// Output: runs for hakata
}
