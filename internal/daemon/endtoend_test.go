package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/entry"
	"github.com/baobabdyke/baobabdyke/internal/caller"
	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	testKey   = "sample-key-of-a-customer"
	testToken = "sample-operator-token"
)

// A fleet is a set of VMs that are connected over the network to fake targets and
// a fake object store.
type fleet struct {
	t       *testing.T
	objects *store.Memory
	engines []*fake.Engine
	service *fake.Service
	vms     []settings.Settings
	running []*VM
	stopped []chan error
}

// newFleet starts n VMs, configures them and waits until they serve requests.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, objects: store.NewMemory(), service: fake.NewService("app-1")}
	api := httptest.NewServer(fake.NewObjectStore(f.objects))
	t.Cleanup(api.Close)
	var engines [2]string
	for i := range 2 {
		engine := fake.NewEngine(fake.EngineOptions{Name: fmt.Sprintf("engine-%d", i+1), Model: "kuroko"})
		f.engines = append(f.engines, engine)
		engines[i] = f.listen(engine)
	}
	service := f.listen(f.service)
	for i := range n {
		f.start(i, strings.TrimPrefix(api.URL, "http://"))
	}
	f.patch(0, fake.SmallFleetPatch(testKey, engines, service))
	f.awaitReady()
	f.awaitTokens()
	return f
}

// listen serves h on a new port and returns its address.
func (f *fleet) listen(h http.Handler) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}

// start starts VM i, with the object store at api.
func (f *fleet) start(i int, api string) {
	f.t.Helper()
	s := settings.Settings{
		VM:         fmt.Sprintf("vm-%d", i+1),
		Region:     "kyushu",
		DataCentre: "hakata",
		Callers:    settings.Callers{Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20, MaxHeaderBytes: 1 << 16, BodyTimeout: time.Minute},
		Operators:  settings.Operators{Address: "127.0.0.1:0"},
		Peers:      settings.Peers{Address: "127.0.0.1:0"},
		Platform:   settings.Platform{Address: api, CallsPerSecond: 200},
		Entry:      settings.Entry{TTL: 100 * time.Millisecond, Lag: 100 * time.Millisecond},
	}
	l, s, err := Listen(f.t.Context(), s)
	must.NoError(f.t, err)
	c := Credentials{OperatorToken: []byte(testToken), PeerSecret: []byte("sample-peer-secret")}
	network, err := NewNetwork(s, c.PeerSecret, log.NewNopLogger())
	must.NoError(f.t, err)
	v := New(s, c, network.Dependencies, log.NewNopLogger())
	f.vms = append(f.vms, s)
	f.running = append(f.running, v)
	var list []store.VMRecord
	for _, one := range f.vms {
		list = append(list, store.VMRecord{
			ID: one.VM, Address: one.Peers.Address, DataCentre: one.DataCentre, State: store.VMLive,
		})
	}
	f.objects.SetVMs(list)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	f.stopped = append(f.stopped, done)
	go func() { done <- v.Run(ctx, l, network.Serve) }()
	f.t.Cleanup(cancel)
}

// A response is the status and header of an HTTP response.
type response struct {
	status int
	header http.Header
}

// request sends a request and returns the response and its body. The headers are
// alternating names and values.
func (f *fleet) request(method, url, body string, headers ...string) (response, string) {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), method, url, strings.NewReader(body))
	must.NoError(f.t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	must.NoError(f.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	must.NoError(f.t, err)
	return response{status: resp.StatusCode, header: resp.Header}, string(data)
}

// send sends a request with the customer's key to the callers' port of a VM.
func (f *fleet) send(i int, method, path, body string, headers ...string) (response, string) {
	f.t.Helper()
	headers = append([]string{"Authorization", "Bearer " + testKey}, headers...)
	return f.request(method, "http://"+f.vms[i].Callers.Address+path, body, headers...)
}

// patch submits a patch, which must be accepted.
func (f *fleet) patch(i int, body string) {
	f.t.Helper()
	url := "http://" + f.vms[i].Operators.Address + "/patch"
	resp, respBody := f.request(http.MethodPost, url, body, "Authorization", "Bearer "+testToken)
	must.Eq(f.t, http.StatusOK, resp.status, must.Sprint(respBody))
}

// awaitReady waits until all VMs report that they are ready.
func (f *fleet) awaitReady() {
	f.t.Helper()
	for i := range f.vms {
		f.await(func() bool {
			resp, _ := f.request(http.MethodGet, "http://"+f.vms[i].Operators.Address+"/ready", "")
			return resp.status == http.StatusOK
		})
	}
}

// awaitTokens waits until every VM admits a request, since new token buckets fill
// at the customer's rate, and lists every VM in its entry responses.
func (f *fleet) awaitTokens() {
	f.t.Helper()
	for i := range f.vms {
		f.await(func() bool {
			resp, _ := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody("open?", 1000))
			return resp.status == http.StatusOK
		})
		f.await(func() bool {
			_, body := f.send(i, http.MethodGet, "/entry?route=verdict", "")
			var entries entry.Response
			return json.Unmarshal([]byte(body), &entries) == nil && len(entries.VMs) == len(f.vms)
		})
	}
}

// await polls until the condition holds, bounded by the timeout of the test.
func (f *fleet) await(condition func() bool) {
	for !condition() {
		time.Sleep(20 * time.Millisecond)
	}
}

// chatBody returns the body of a chat completion with a long shared prefix.
func chatBody(question string, tokens int) string {
	body, _ := json.Marshal(struct {
		Model     string              `json:"model"`
		Stream    bool                `json:"stream"`
		MaxTokens int                 `json:"max_tokens"`
		Messages  []map[string]string `json:"messages"`
	}{"verdict", true, tokens, []map[string]string{
		{"role": "system", "content": strings.Repeat("house rule. ", 40)},
		{"role": "user", "content": question},
	}})
	return string(body)
}

// mustBeComplete checks that a stream has at least n events in order and its last
// event.
func mustBeComplete(t *testing.T, stream string, n int) {
	t.Helper()
	offset := 0
	lines := bufio.NewScanner(bytes.NewBufferString(stream))
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			offset++
			must.Eq(t, fmt.Sprint(offset), id)
		}
	}
	must.GreaterEq(t, n, offset)
	must.StrContains(t, stream, "data: [DONE]")
}

func TestEndToEnd(t *testing.T) {
	f := newFleet(t, 2)

	t.Run("entry lists both VMs", func(t *testing.T) {
		resp, body := f.send(0, http.MethodGet, "/entry?route=verdict", "")
		must.Eq(t, http.StatusOK, resp.status, must.Sprint(body))
		var entries entry.Response
		must.NoError(t, json.Unmarshal([]byte(body), &entries))
		must.SliceLen(t, 2, entries.VMs)
	})
	t.Run("a stream is complete and in order", func(t *testing.T) {
		for i := range f.vms {
			resp, body := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody("is row C free?", 5))
			must.Eq(t, http.StatusOK, resp.status, must.Sprint(body))
			must.NotEq(t, "", resp.header.Get(caller.HeaderPrefix))
			mustBeComplete(t, body, 5)
		}
	})
	t.Run("at-most-once request runs once across both VMs", func(t *testing.T) {
		first, firstBody := f.send(0, http.MethodPost, "/s/hold/holds", `{"seat":"C7"}`, caller.HeaderIdempotencyKey, "hold-1")
		must.Eq(t, http.StatusCreated, first.status, must.Sprint(firstBody))
		again, againBody := f.send(1, http.MethodPost, "/s/hold/holds", `{"seat":"C7"}`, caller.HeaderIdempotencyKey, "hold-1")
		must.Eq(t, http.StatusCreated, again.status, must.Sprint(againBody))
		must.Eq(t, firstBody, againBody)
		must.Eq(t, 1, f.service.HeldSeats())
	})
	t.Run("refusals", func(t *testing.T) { testRefusals(t, f) })
	t.Run("no key reaches a target", func(t *testing.T) {
		for _, e := range f.engines {
			must.False(t, e.Contains(testKey))
		}
		must.False(t, f.service.Contains(testKey))
	})
	t.Run("a connection stays open after the entry response has expired", func(t *testing.T) {
		var d net.Dialer
		conn, err := d.DialContext(t.Context(), "tcp", f.vms[0].Callers.Address)
		must.NoError(t, err)
		defer conn.Close()
		responses := bufio.NewReader(conn)
		for range 2 {
			_, err = io.WriteString(conn, "GET /entry?route=none HTTP/1.1\r\nHost: x\r\n\r\n")
			must.NoError(t, err)
			resp, err := http.ReadResponse(responses, nil)
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			must.NoError(t, err)
			must.NoError(t, resp.Body.Close())
			time.Sleep(3 * f.vms[0].Entry.TTL)
		}
	})
	t.Run("a drained VM stops without an error", func(t *testing.T) {
		f.running[1].Drain()
		must.NoError(t, <-f.stopped[1])
	})
}

// testRefusals checks the status and outcome of rejected requests.
func testRefusals(t *testing.T, f *fleet) {
	cases := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		status  int
	}{
		{"wrong key", http.MethodPost, "/v1/chat/completions", chatBody("?", 1), []string{"Authorization", "Bearer no"}, 401},
		{"unknown route", http.MethodGet, "/s/none/x", "", nil, 404},
		{"not JSON", http.MethodPost, "/v1/chat/completions", "{", nil, 400},
		{"no idempotency key", http.MethodPost, "/s/hold/holds", `{"seat":"A1"}`, nil, 400},
		{"key used again", http.MethodPost, "/s/hold/holds", `{"seat":"A1"}`, []string{caller.HeaderIdempotencyKey, "hold-1"}, 422},
		{"body too large", http.MethodPost, "/s/hold/holds", strings.Repeat("x", 2<<20), nil, 413},
		{"larger than the burst", http.MethodPost, "/v1/chat/completions", chatBody("?", 120000), nil, 413},
		{"key in the query", http.MethodGet, "/entry?route=verdict&key=" + testKey, "", []string{"Authorization", ""}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, body := f.send(0, c.method, c.path, c.body, c.headers...)
			if c.status == 0 {
				must.NotEq(t, http.StatusOK, resp.status)
				return
			}
			must.Eq(t, c.status, resp.status, must.Sprint(body))
			must.Eq(t, caller.OutcomeNotRun, resp.header.Get(caller.HeaderOutcome))
		})
	}
}
