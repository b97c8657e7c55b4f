package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/gateway/admission"
)

// stream sends a request of route "verdict" and returns the channel of its result.
func (v *testVM) stream(id int) <-chan result {
	results := make(chan result, 1)
	go func() { results <- v.request("/stream/b/", fmt.Sprint("r", id)) }()
	return results
}

// admissionPage returns what the operators' port says of admission.
func (v *testVM) admissionPage() (page admission.Page) {
	v.t.Helper()
	req, err := http.NewRequestWithContext(v.t.Context(), http.MethodGet, "http://"+v.settings.Operators.Address+"/admission", nil)
	must.NoError(v.t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(v.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	must.NoError(v.t, err)
	must.NoError(v.t, json.Unmarshal(body, &page))
	return page
}

// TestOverloadedServiceIsRefused guards against requests that are sent to engines whose slots
// are all taken. The engines are silent, so that each request that is sent stays.
func TestOverloadedServiceIsRefused(t *testing.T) {
	const requests = 60
	for _, on := range []bool{true, false} {
		t.Run(fmt.Sprint("admission ", on), func(t *testing.T) {
			b := newTestbed(t)
			b.admission = on
			v := b.start("vm-1")
			v.ready()
			for _, engine := range b.engines {
				engine.Silence()
				t.Cleanup(engine.Resume)
			}
			refused, sent := 0, 0
			for id := range requests {
				results := v.stream(id)
				var r *result
				eventually(t, func() bool {
					select {
					case got := <-results:
						r = &got
						return true
					default:
						return b.engines[0].Received()+b.engines[1].Received() > sent
					}
				})
				if r == nil {
					sent++
					continue
				}
				refused++
				must.NoError(t, r.err)
				must.Eq(t, http.StatusServiceUnavailable, r.status)
				after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				must.NoError(t, err)
				must.Between(t, 0.02, after, 0.3*2.5)
			}
			must.Eq(t, on, refused > 0)
			page := v.admissionPage()
			must.Eq(t, on, page.Enabled)
			if on {
				must.SliceLen(t, 1, page.Flows)
				must.Eq(t, int64(refused), page.Flows[0].Refused)
				must.Eq(t, int64(sent), page.Flows[0].Admitted)
				must.Eq(t, "verdict", page.Flows[0].Class)
				must.Eq(t, "c", page.Flows[0].Customer)
			}
		})
	}
}
