package customer_test

import (
	"fmt"
	"net/http"
	"net/url"
	"testing"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/customer"
)

// BenchmarkSlope reports how the costs of Authorize, Check and Strip depend on the
// number of customers.
func BenchmarkSlope(b *testing.B) {
	for _, n := range []int{5, 1000, 12000} {
		cfg := &config.Config{Version: 1, Routes: []config.Route{{Name: "seats"}}}
		for i := range n {
			cfg.Customers = append(cfg.Customers, config.Customer{
				Name: fmt.Sprint("customer", i), Routes: []string{"seats"},
				Keys: []config.Key{{ID: "k", Digest: customer.Digest(fmt.Sprint("secret", i))}},
			})
		}
		v := config.NewView(cfg)
		r := request(header("Authorization", "Bearer secret3"))
		g := grantOf(customer.Authorize(v, r, "seats"))
		b.Run(fmt.Sprintf("authorize/customers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				customer.Authorize(v, r, "seats")
			}
		})
		b.Run(fmt.Sprintf("check/customers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				customer.Check(v, g)
			}
		})
		b.Run(fmt.Sprintf("strip/customers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				customer.Strip(r.Header.Clone(), r.URL, nil)
			}
		})
	}
}

func grantOf(v customer.Verdict) customer.Grant { return v.(customer.Granted).Grant }

// FuzzStrip checks that Strip leaves no key in a request, for any header and query.
func FuzzStrip(f *testing.F) {
	f.Add("X-Api-Key", "k", "api_key=k&seat=4", "X-Mine")
	f.Add("authorization", "Bearer k", "a;ACCESS%5FTOKEN=k", "x_api_key, close")
	f.Fuzz(func(t *testing.T, name, value, query, connection string) {
		h := http.Header{name: {value}, "Connection": {connection}}
		u := &url.URL{Path: "/v1", RawQuery: query}
		r := request(func(r *http.Request) { r.Header, r.URL = h.Clone(), u })
		_, granted := customer.Authorize(view(1, ""), r, "seats").(customer.Granted)
		customer.Strip(h, u, []string{"X-Seat-Key"})
		again := request(func(r *http.Request) { r.Header, r.URL = h, u })
		denied, ok := customer.Authorize(view(1, ""), again, "seats").(customer.Denied)
		if !ok || denied.Reason != customer.ReasonNoKey {
			t.Fatalf("granted %v before; %v after Strip left %v ? %q", granted, denied, h, u.RawQuery)
		}
	})
}
