package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/customer"
	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/target"
)

// Sizes of the prompt.
const (
	pieceBytes   = 8192
	promptPieces = 4
)

// A system is one VM with all parts of the request path, in front of stand-in
// engines on an in-process network.
type system struct {
	t        *testing.T
	view     *config.View
	network  *fake.Network
	engines  []*fake.Engine
	fleet    *target.Fleet
	index    *prefix.Task
	chooser  *route.Chooser
	runner   *dispatch.Runner
	requests int
}

func newSystem(t *testing.T, n int, kv bool) *system {
	t.Helper()
	s := &system{t: t, network: fake.NewNetwork()}
	cfg := &config.Config{Version: 1, Routes: []config.Route{
		{Name: "chat", Kind: config.RouteModel, Pool: "llm", Model: "m", Version: "v1"},
		{Name: "repeatable", Kind: config.RouteModel, Pool: "llm", Model: "m", Version: "v1", Idempotent: true},
	}}
	cache := fake.NewCache(100)
	s.network.Add("10.0.0.99:80", cache)
	cfg.Targets = append(cfg.Targets, config.Target{Name: "kv", Kind: config.TargetCache, Pool: "kv", Address: "10.0.0.99:80"})
	o := fake.EngineOptions{Model: "m", PrefillRate: 20_000, Client: &http.Client{Transport: s.network}}
	if kv {
		o.KVCacheAddress = "10.0.0.99:80"
	}
	for i := range n {
		o.Name = fmt.Sprintf("e%d", i)
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		e := fake.NewEngine(o)
		t.Cleanup(e.Crash)
		s.network.Add(address, e)
		s.engines = append(s.engines, e)
		cfg.Targets = append(cfg.Targets, config.Target{
			Name: o.Name, Kind: config.TargetEngine, Pool: "llm", Address: address, Slots: 4,
		})
	}
	s.view = config.NewView(cfg)
	s.start()
	return s
}

// start starts a VM in place of the previous one and waits until it is warm.
func (s *system) start() {
	view := func() *config.View { return s.view }
	client := target.NewHTTPClient(target.HTTPOptions{Credential: "own", Transport: s.network})
	s.fleet = target.NewFleet(target.Options{Client: client, Config: view})
	s.index = prefix.NewTask(prefix.Options{Client: client, Config: view, States: s.fleet.All})
	s.chooser = route.NewChooser(route.Options{Fleet: s.fleet, Index: s.index})
	s.runner = dispatch.NewRunner(dispatch.Options{Client: client, Chooser: s.chooser, Reporter: s.fleet, Config: view})
	ctx, cancel := context.WithCancel(s.t.Context())
	s.t.Cleanup(cancel)
	for _, run := range []func(context.Context) error{s.fleet.Run, s.index.Run, s.chooser.Run} {
		go func() { _ = run(ctx) }()
	}
	time.Sleep(2 * time.Second)
	synctest.Wait()
	must.True(s.t, s.fleet.Warm())
	must.True(s.t, s.index.Warm())
}

// send sends a prompt for a customer and returns the outcome and the recorded
// response.
func (s *system) send(name string) (dispatch.Outcome, *httptest.ResponseRecorder) {
	s.requests++
	return s.sendRequest(name, fmt.Sprintf("r%d", s.requests), "chat")
}

// sendRequest sends a prompt with the given request id, which is also its message.
func (s *system) sendRequest(name, id, route string) (dispatch.Outcome, *httptest.ResponseRecorder) {
	prompt := make([]byte, promptPieces*pieceBytes)
	w := httptest.NewRecorder()
	o := s.runner.Run(s.t.Context(), dispatch.Job{
		ID:     id,
		Grant:  customer.Grant{Customer: name},
		Route:  s.view.Route(route),
		Method: http.MethodPost,
		Path:   "/v1/chat/completions",
		Header: http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer caller-secret"}, "X-Api-Key": {"caller-secret"}},
		Body:   fmt.Appendf(nil, `{"stream":true,"max_tokens":3,"messages":[{"content":%q}]}`, id),
		Prompt: prefix.Split(prefix.Salt{Customer: name, Model: "m", Version: "v1"}, prompt, pieceBytes),
	}, w)
	return o, w
}

// mustComplete checks that the response is complete and returns its target.
func (s *system) mustComplete(o dispatch.Outcome, w *httptest.ResponseRecorder) string {
	s.t.Helper()
	ran, ok := o.(dispatch.Ran)
	must.True(s.t, ok, must.Sprintf("outcome %#v", o))
	must.True(s.t, ran.Complete, must.Sprintf("outcome %#v", o))
	must.StrHasSuffix(s.t, "id: 4\ndata: [DONE]\n\n", w.Body.String())
	return ran.Target
}

// computedTokens returns the number of prompt tokens computed by all engines.
func (s *system) computedTokens() int {
	n := 0
	for _, e := range s.engines {
		n += e.Usage().ComputedTokens
	}
	return n
}

// testSystem runs a test on a system with n engines in virtual time.
func testSystem(t *testing.T, n int, f func(s *system)) {
	synctest.Test(t, func(t *testing.T) { f(newSystem(t, n, false)) })
}

// TestPrefixReuse checks that a repeated prompt goes to the engine that has it
// cached, so that it is computed only once, and that no caller key reaches an
// engine.
func TestPrefixReuse(t *testing.T) {
	testSystem(t, 3, func(s *system) {
		first := s.mustComplete(s.send("a"))
		time.Sleep(time.Second)
		must.Eq(t, first, s.mustComplete(s.send("a")))
		must.Eq(t, promptPieces*pieceBytes/prefix.BytesPerToken, s.computedTokens())
		for _, e := range s.engines {
			must.False(t, e.Contains("caller-secret"))
		}
	})
}

// TestCustomersIsolated checks that two customers with the same prompt do not share
// cached pieces.
func TestCustomersIsolated(t *testing.T) {
	testSystem(t, 2, func(s *system) {
		s.mustComplete(s.send("a"))
		s.mustComplete(s.send("b"))
		must.Eq(t, 2*promptPieces*pieceBytes/prefix.BytesPerToken, s.computedTokens())
		for _, e := range s.engines {
			must.Eq(t, 0, e.Usage().SaltMismatches)
		}
	})
}

// TestRestartedVM checks that a restarted VM finds the cached prompt again.
func TestRestartedVM(t *testing.T) {
	testSystem(t, 3, func(s *system) {
		first := s.mustComplete(s.send("a"))
		s.start()
		must.Eq(t, first, s.mustComplete(s.send("a")))
		must.Eq(t, promptPieces*pieceBytes/prefix.BytesPerToken, s.computedTokens())
	})
}

// A fault is a test case: a fault that is injected between or during two requests
// with the same prompt, and the expected results.
type fault struct {
	engines  int
	kv       bool
	inject   func(s *system)
	complete bool
	// computedPrompts is the total number of prompts that the engines computed.
	computedPrompts int
}

func TestFaults(t *testing.T) {
	for name, f := range map[string]fault{
		"engine restarted with an empty cache": {
			engines: 1, complete: true, computedPrompts: 2,
			inject: func(s *system) { s.engines[0].Crash() },
		},
		"warm engine leaves": {
			engines: 2, complete: true, computedPrompts: 2,
			inject: func(s *system) { s.warmEngine().SetLeaving(true) },
		},
		"warm engine down": {
			engines: 2, complete: true, computedPrompts: 2,
			inject: func(s *system) { s.network.Refuse(s.warmEngineAddress(), true) },
		},
		"weights change between choice and send": {
			engines: 1, complete: false, computedPrompts: 1,
			inject: func(s *system) { s.loadWeights("v2") },
		},
		"stream silent, new connections work": {
			engines: 1, complete: true, computedPrompts: 1,
			inject: func(s *system) { s.warmEngine().StallAfter(2) },
		},
		"stream truncated": {
			engines: 1, complete: true, computedPrompts: 1,
			inject: func(s *system) { s.warmEngine().TruncateAfter(1) },
		},
		"engine crashes during the stream": {
			engines: 1, complete: false, computedPrompts: 1,
			inject: func(s *system) {
				s.warmEngine().SetTokenInterval(time.Second)
				time.AfterFunc(1500*time.Millisecond, s.warmEngine().Crash)
			},
		},
		"engine restarted, pieces in the KV cache": {
			engines: 1, kv: true, complete: true, computedPrompts: 1,
			inject: func(s *system) { s.engines[0].Crash() },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f.run(newSystem(t, f.engines, f.kv)) })
		})
	}
}

func (f fault) run(s *system) {
	s.mustComplete(s.send("a"))
	time.Sleep(time.Second)
	f.inject(s)
	o, w := s.send("a")
	if f.complete {
		s.mustComplete(o, w)
	} else {
		s.mustFailExplicitly(o, w)
	}
	must.Eq(s.t, f.computedPrompts*promptPieces*pieceBytes/prefix.BytesPerToken, s.computedTokens())
	for _, e := range s.engines {
		must.LessEq(s.t, 1, e.MaxRunsPerRequest())
		must.Eq(s.t, 0, e.Usage().SaltMismatches)
	}
}

// mustFailExplicitly checks that an incomplete response ends with an error event,
// and that a request that did not run has an empty response.
func (s *system) mustFailExplicitly(o dispatch.Outcome, w *httptest.ResponseRecorder) {
	s.t.Helper()
	switch o := o.(type) {
	case dispatch.NotRun:
		must.Eq(s.t, "", w.Body.String())
	case dispatch.Ran:
		must.False(s.t, o.Complete)
		must.StrContains(s.t, w.Body.String(), "event: error")
	default:
		s.t.Fatalf("outcome %#v", o)
	}
}

// warmEngine returns the engine that ran the first request.
func (s *system) warmEngine() *fake.Engine {
	for _, e := range s.engines {
		if len(e.Pieces()) > 0 {
			return e
		}
	}
	return nil
}

func (s *system) warmEngineAddress() string {
	for i, e := range s.engines {
		if e == s.warmEngine() {
			return s.view.Targets[i+1].Address
		}
	}
	return ""
}

// loadWeights makes the first engine load another version of the weights.
func (s *system) loadWeights(version string) {
	client := target.NewHTTPClient(target.HTTPOptions{Transport: s.network})
	o := client.Order(s.t.Context(), s.view.Targets[1].Address, target.Order{
		ID: "o1", Kind: target.OrderLoad, Model: "m", Version: version, Lifetime: time.Minute,
	})
	must.Eq(s.t, target.OrderResult(target.OrderDone{}), o)
}
