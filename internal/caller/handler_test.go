package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
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

	"github.com/baobabdyke/baobabdyke/claim"
	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/entry"
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/queue"
	"github.com/baobabdyke/baobabdyke/store"
)

const customerKey = "sample-secret"

// fakeDependencies implements all dependencies of a Handler in memory.
type fakeDependencies struct {
	view         *config.View
	fresh        bool
	decision     limit.Decision
	queueOutcome queue.Outcome
	claimResult  claim.Result
	run          func(ctx context.Context, j dispatch.Job, w http.ResponseWriter) dispatch.Outcome

	jobs      []dispatch.Job
	settled   []limit.Cost
	finished  []claim.Response
	abandoned int
}

func newFakeDependencies() *fakeDependencies {
	sum := sha256.Sum256([]byte(customerKey))
	cfg := &config.Config{
		Version: 1,
		Customers: []config.Customer{{
			Name:   "bunraku",
			Keys:   []config.Key{{ID: "k1", Digest: hex.EncodeToString(sum[:])}},
			Routes: []string{"verdict", "hold"},
		}},
		Routes: []config.Route{
			{Name: "verdict", Kind: config.RouteModel, Model: "kuroko", Version: "v1", Adapters: []string{"phone"}, Deadline: time.Hour},
			{Name: "hold", Kind: config.RouteService, Once: true, Deadline: time.Hour},
		},
		Models: []config.Model{{Name: "kuroko", Versions: []string{"v1"}, Piece: 16}},
	}
	return &fakeDependencies{
		view:         config.NewView(cfg),
		fresh:        true,
		decision:     limit.Admitted{Reservation: limit.Reservation{ID: 1}},
		queueOutcome: queue.Admitted{Release: func(time.Duration, bool) {}},
		claimResult:  claim.Granted{},
		run: func(_ context.Context, _ dispatch.Job, w http.ResponseWriter) dispatch.Outcome {
			w.Header().Set("Content-Type", "text/plain")
			w.WriteHeader(http.StatusCreated)
			fmt.Fprint(w, "held")
			return dispatch.Ran{Complete: true}
		},
	}
}

func (p *fakeDependencies) Current() *config.View { return p.view }

func (p *fakeDependencies) Fresh() bool { return p.fresh }

func (p *fakeDependencies) Reserve(context.Context, string, limit.Cost) limit.Decision {
	return p.decision
}

func (p *fakeDependencies) Settle(_ limit.Reservation, used limit.Cost) {
	p.settled = append(p.settled, used)
}

func (p *fakeDependencies) Acquire(context.Context, queue.Ticket) queue.Outcome {
	return p.queueOutcome
}

func (p *fakeDependencies) Begin(context.Context, claim.Request) claim.Result { return p.claimResult }

func (p *fakeDependencies) Finish(_ context.Context, _ claim.Ticket, a claim.Response) error {
	p.finished = append(p.finished, a)
	return nil
}

func (p *fakeDependencies) Abandon(context.Context, claim.Ticket) error {
	p.abandoned++
	return nil
}

func (p *fakeDependencies) Resolve(entry.Request) entry.Response {
	return entry.Response{VMs: []entry.Address{{Address: "192.0.2.1:80"}}, TTL: 5}
}

func (p *fakeDependencies) Run(ctx context.Context, j dispatch.Job, w http.ResponseWriter) dispatch.Outcome {
	p.jobs = append(p.jobs, j)
	if err := j.Allowed(); err != nil {
		return dispatch.NotRun{Reason: err.Error()}
	}
	return p.run(ctx, j, w)
}

func (p *fakeDependencies) handler() *Handler {
	return NewHandler(Options{
		Config: p, Limiter: p, Queue: p, Claims: p, Runner: p, Placer: p,
		Clock: store.SystemClock{}, Log: log.NewNopLogger(),
		Bounds: Bounds{MaxBodyBytes: 1 << 10, BodyTimeout: 100 * time.Millisecond, MaxRecordedBytes: 64},
	})
}

// send calls h with a request and returns the recorded response.
func send(t *testing.T, h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+customerKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// mustFail checks the status, code and outcome of an error response, and that it
// does not contain the key.
func mustFail(t *testing.T, w *httptest.ResponseRecorder, status int, code, outcome string) {
	t.Helper()
	must.Eq(t, status, w.Code, must.Sprint(w.Body.String()))
	must.StrContains(t, w.Body.String(), `"code":"`+code+`"`)
	must.Eq(t, outcome, w.Header().Get(HeaderOutcome))
	must.NotEq(t, "", w.Header().Get(HeaderRequestID))
	must.StrNotContains(t, w.Body.String(), customerKey)
}

const chatBody = `{"model":"verdict","messages":[{"role":"user","content":"is row C free, and is there a ramp?"}]}`

func TestRefusals(t *testing.T) {
	chat, hold := "/v1/chat/completions", "/s/hold/holds"
	idempotent := []string{HeaderIdempotencyKey, "a"}
	cases := []struct {
		name    string
		change  func(*fakeDependencies)
		path    string
		body    string
		headers []string
		status  int
		code    string
		outcome string
	}{
		{"not JSON", nil, chat, "{", nil, 400, CodeBadRequest, OutcomeNotRun},
		{"no route", nil, chat, `{"messages":[]}`, nil, 400, CodeBadRequest, OutcomeNotRun},
		{"no messages", nil, chat, `{"model":"verdict"}`, nil, 400, CodeBadRequest, OutcomeNotRun},
		{"wrong type", nil, chat, `{"model":7}`, nil, 400, CodeBadRequest, OutcomeNotRun},
		{"two models", nil, chat, strings.Replace(chatBody, "{", `{"model":"hold",`, 1), nil, 400, CodeBadRequest, OutcomeNotRun},
		{"two bodies", nil, chat, chatBody + chatBody, nil, 400, CodeBadRequest, OutcomeNotRun},
		{"wrong limit", nil, chat, `{"model":"verdict","max_tokens":0}`, nil, 400, CodeBadRequest, OutcomeNotRun},
		{"unknown route", nil, "/s/none/x", "", nil, 404, CodeNotFound, OutcomeNotRun},
		{"route of another kind", nil, "/s/verdict/x", "", nil, 404, CodeNotFound, OutcomeNotRun},
		{"unknown path", nil, "/v2/none", "", nil, 404, CodeNotFound, OutcomeNotRun},
		{"adapter not allowed", nil, chat, strings.Replace(chatBody, "verdict", "verdict:none", 1), nil, 403, CodeForbidden, OutcomeNotRun},
		{"two keys", nil, chat, chatBody, []string{"X-Api-Key", "another"}, 400, CodeBadRequest, OutcomeNotRun},
		{"body too large", nil, hold, strings.Repeat("x", 2<<10), idempotent, 413, CodeTooLarge, OutcomeNotRun},
		{"not fresh", func(p *fakeDependencies) { p.fresh = false }, chat, chatBody, nil, 503, CodeUnavailable, OutcomeNotRun},
		{"over the rate", func(p *fakeDependencies) { p.decision = limit.Refused{} }, chat, chatBody, nil, 429, CodeRate, OutcomeNotRun},
		{"over the burst", func(p *fakeDependencies) { p.decision = limit.TooLarge{} }, chat, chatBody, nil, 413, CodeExceedsBurst, OutcomeNotRun},
		{"queue full", func(p *fakeDependencies) { p.queueOutcome = queue.Rejected{} }, chat, chatBody, nil, 503, CodeOverload, OutcomeNotRun},
		{"no idempotency key", nil, hold, "{}", nil, 400, CodeBadRequest, OutcomeNotRun},
		{"long idempotency key", nil, hold, "{}", []string{HeaderIdempotencyKey, strings.Repeat("k", 300)}, 400, CodeBadRequest, OutcomeNotRun},
		{"claim pending", func(p *fakeDependencies) { p.claimResult = claim.Pending{} }, hold, "{}", idempotent, 409, CodePending, OutcomeUnknown},
		{"response not kept", func(p *fakeDependencies) { p.claimResult = claim.Repeated{Response: claim.Response{BodyDropped: true}} }, hold, "{}", idempotent, 409, CodeResponseNotKept, OutcomeRan},
		{"claim mismatch", func(p *fakeDependencies) { p.claimResult = claim.Mismatch{} }, hold, "{}", idempotent, 422, CodeKeyReused, OutcomeNotRun},
		{"claim unavailable", func(p *fakeDependencies) { p.claimResult = claim.Unavailable{} }, hold, "{}", idempotent, 503, CodeUnavailable, OutcomeNotRun},
		{"not run", func(p *fakeDependencies) { p.run = runWithOutcome(dispatch.NotRun{}) }, chat, chatBody, nil, 503, CodeUnavailable, OutcomeNotRun},
		{"unknown", func(p *fakeDependencies) { p.run = runWithOutcome(dispatch.Unknown{}) }, chat, chatBody, nil, 502, CodeUnknown, OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newFakeDependencies()
			if c.change != nil {
				c.change(p)
			}
			mustFail(t, send(t, p.handler(), http.MethodPost, c.path, c.body, c.headers...), c.status, c.code, c.outcome)
		})
	}
}

// runWithOutcome returns a run function that writes nothing and returns o.
func runWithOutcome(o dispatch.Outcome) func(context.Context, dispatch.Job, http.ResponseWriter) dispatch.Outcome {
	return func(context.Context, dispatch.Job, http.ResponseWriter) dispatch.Outcome { return o }
}

func TestEntry(t *testing.T) {
	h := newFakeDependencies().handler()
	w := send(t, h, http.MethodGet, "/entry?route=verdict&prefix=ff", "")
	must.Eq(t, `{"vms":[{"address":"192.0.2.1:80","datacentre":""}],"ttl":5}`, strings.TrimSpace(w.Body.String()))
	w = send(t, h, http.MethodGet, "/entry?route=verdict&prefix=xyz", "")
	mustFail(t, w, http.StatusBadRequest, CodeBadRequest, OutcomeNotRun)
	w = send(t, h, http.MethodGet, "/entry?route=none", "")
	mustFail(t, w, http.StatusNotFound, CodeNotFound, OutcomeNotRun)
}

func TestUsedTokens(t *testing.T) {
	const reserved = 100
	body := strings.Replace(chatBody, "{", `{"max_tokens":100,`, 1)
	streamed := strings.Replace(body, "{", `{"stream":true,`, 1)
	cases := map[string]struct {
		body     string
		ran      dispatch.Ran
		response string
		output   float64
	}{
		"complete stream":  {streamed, dispatch.Ran{Complete: true, Parts: 8}, "", 7},
		"truncated stream": {streamed, dispatch.Ran{Parts: 8}, "", reserved},
		"usage reported":   {body, dispatch.Ran{Complete: true, Parts: 1}, `{"usage":{"completion_tokens":9}}`, 9},
		"usage too large":  {body, dispatch.Ran{Complete: true, Parts: 1}, `{"usage":{"completion_tokens":900}}`, reserved},
		"no usage":         {body, dispatch.Ran{Complete: true, Parts: 1}, `{}`, reserved},
		"body is not JSON": {body, dispatch.Ran{Complete: true, Parts: 1}, `x`, reserved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newFakeDependencies()
			p.run = func(_ context.Context, _ dispatch.Job, w http.ResponseWriter) dispatch.Outcome {
				fmt.Fprint(w, c.response)
				return c.ran
			}
			send(t, p.handler(), http.MethodPost, "/v1/chat/completions", c.body)
			parsed, err := ParseCompletion([]byte(c.body))
			must.NoError(t, err)
			must.Eq(t, []limit.Cost{{Requests: 1, Tokens: float64(parsed.Tokens()) + c.output}}, p.settled)
		})
	}
}

func TestDraining(t *testing.T) {
	h := newFakeDependencies().handler()
	h.opts.Draining = func() bool { return true }
	w := send(t, h, http.MethodPost, "/v1/chat/completions", chatBody)
	must.Eq(t, http.StatusCreated, w.Code)
	must.Eq(t, "close", w.Header().Get("Connection"))
}

func TestKeyWithdrawn(t *testing.T) {
	p := newFakeDependencies()
	granted := p.view
	h := p.handler()
	withdrawn := *granted.Config
	withdrawn.Customers = []config.Customer{granted.Customers[0]}
	withdrawn.Customers[0].Keys = []config.Key{{ID: "k1", Digest: granted.Customers[0].Keys[0].Digest, Withdrawn: config.WithdrawnCut}}
	withdrawnView := config.NewView(&withdrawn)

	t.Run("rejected by the next check", func(t *testing.T) {
		p.queueOutcome = queue.Admitted{Release: func(time.Duration, bool) {}}
		h.opts.Queue = acquireFunc(func() { p.view = withdrawnView })
		mustFail(t, send(t, h, http.MethodPost, "/v1/chat/completions", chatBody), 401, CodeUnauthorized, OutcomeNotRun)
		must.Eq(t, []limit.Cost{{}}, p.settled)
	})
	t.Run("running request is aborted", func(t *testing.T) {
		p.view = granted
		h.opts.Queue = p
		p.run = func(ctx context.Context, _ dispatch.Job, _ http.ResponseWriter) dispatch.Outcome {
			h.Apply(withdrawnView)
			<-ctx.Done()
			return dispatch.Unknown{Reason: context.Cause(ctx).Error()}
		}
		w := send(t, h, http.MethodPost, "/v1/chat/completions", chatBody)
		must.StrContains(t, w.Body.String(), errKeyWithdrawn.Error())
	})
}

// An acquireFunc is a Queue that calls the function while a request waits.
type acquireFunc func()

func (f acquireFunc) Acquire(context.Context, queue.Ticket) queue.Outcome {
	f()
	return queue.Admitted{Release: func(time.Duration, bool) {}}
}

func TestClaims(t *testing.T) {
	hold := func(t *testing.T, p *fakeDependencies) *httptest.ResponseRecorder {
		return send(t, p.handler(), http.MethodPost, "/s/hold/holds", "{}", HeaderIdempotencyKey, "a")
	}
	t.Run("the response is relayed in full and recorded", func(t *testing.T) {
		p := newFakeDependencies()
		w := hold(t, p)
		must.Eq(t, http.StatusCreated, w.Code)
		must.Eq(t, OutcomeRan, w.Header().Get(HeaderOutcome))
		must.Eq(t, []claim.Response{{Status: 201, ContentType: "text/plain", Body: []byte("held")}}, p.finished)
	})
	t.Run("a large response is relayed in full and recorded without its body", func(t *testing.T) {
		p := newFakeDependencies()
		p.run = func(_ context.Context, _ dispatch.Job, w http.ResponseWriter) dispatch.Outcome {
			fmt.Fprint(w, "begin ")
			fmt.Fprint(w, strings.Repeat("x", 100))
			return dispatch.Ran{Complete: true}
		}
		w := hold(t, p)
		must.Eq(t, "begin "+strings.Repeat("x", 100), w.Body.String())
		must.Eq(t, []claim.Response{{Status: 200, BodyDropped: true}}, p.finished)
	})
	t.Run("a repeat gets the recorded response and costs nothing", func(t *testing.T) {
		p := newFakeDependencies()
		p.claimResult = claim.Repeated{Response: claim.Response{Status: 201, Body: []byte("held")}}
		must.Eq(t, "held", hold(t, p).Body.String())
		must.SliceEmpty(t, p.jobs)
		must.Eq(t, []limit.Cost{{}}, p.settled)
	})
	t.Run("an incomplete response is aborted", func(t *testing.T) {
		p := newFakeDependencies()
		p.run = func(_ context.Context, _ dispatch.Job, w http.ResponseWriter) dispatch.Outcome {
			fmt.Fprint(w, "begin ")
			return dispatch.Ran{MustAbort: true}
		}
		server := httptest.NewServer(p.handler())
		defer server.Close()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/s/hold/holds", strings.NewReader("{}"))
		must.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+customerKey)
		r.Header.Set(HeaderIdempotencyKey, "a")
		resp, err := server.Client().Do(r)
		must.NoError(t, err)
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.SliceEmpty(t, p.finished)
	})
	t.Run("a pending claim is polled", func(t *testing.T) {
		p := newFakeDependencies()
		h := p.handler()
		calls := 0
		h.opts.Claims = beginFunc(func() claim.Result {
			calls++
			if calls == 1 {
				return claim.Pending{}
			}
			return claim.Repeated{Response: claim.Response{Status: 201, Body: []byte("held")}}
		})
		w := send(t, h, http.MethodPost, "/s/hold/holds", "{}", HeaderIdempotencyKey, "a")
		must.Eq(t, http.StatusCreated, w.Code)
	})
	t.Run("a claim is abandoned only if the request did not run", func(t *testing.T) {
		p := newFakeDependencies()
		p.run = runWithOutcome(dispatch.NotRun{})
		hold(t, p)
		must.Eq(t, 1, p.abandoned)
		p.run = runWithOutcome(dispatch.Unknown{})
		hold(t, p)
		must.Eq(t, 1, p.abandoned)
		must.SliceEmpty(t, p.finished)
	})
}

// A beginFunc is a Claimer whose Begin calls the function.
type beginFunc func() claim.Result

func (f beginFunc) Begin(context.Context, claim.Request) claim.Result { return f() }

func (f beginFunc) Finish(context.Context, claim.Ticket, claim.Response) error { return nil }

func (f beginFunc) Abandon(context.Context, claim.Ticket) error { return nil }

func TestRawConnections(t *testing.T) {
	p := newFakeDependencies()
	server := httptest.NewServer(p.handler())
	t.Cleanup(server.Close)
	start := "POST /s/hold/holds HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + customerKey + "\r\nIdempotency-Key: a\r\n"
	cases := []struct {
		name  string
		text  string
		close bool
		want  string
	}{
		{"trickled", start + "Content-Length: 10\r\n\r\n{", false, "408"},
		{"truncated body", start + "Content-Length: 10\r\n\r\n{", true, "400"},
		{"two lengths", start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n{}", false, "400"},
		{"length and chunks", start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, "201"},
		{"key in a trailer", start + chunked("X-Api-Key: "+customerKey), false, "400"},
		{"other trailer", start + chunked("X-Sum: 1"), false, "201"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, rawStatus(t, server.Listener.Addr().String(), c.text, c.close))
		})
	}
}

// chunked returns the remaining header and the chunked body of a request that
// ends with a trailer.
func chunked(trailer string) string {
	name, _, _ := strings.Cut(trailer, ":")
	return "Trailer: " + name + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + trailer + "\r\n\r\n"
}

func TestStrippedRequest(t *testing.T) {
	p := newFakeDependencies()
	w := send(t, p.handler(), http.MethodPost, "/s/hold/holds?seat=C7", "{}",
		HeaderIdempotencyKey, "a", "Cookie", "session="+customerKey, "Connection", "X-Hop", "X-Hop", "1", "X-Mine", "2")
	must.Eq(t, http.StatusCreated, w.Code, must.Sprint(w.Body.String()))
	job := p.jobs[0]
	must.Eq(t, "/holds?seat=C7", job.Path)
	must.Eq(t, "2", job.Header.Get("X-Mine"))
	must.Eq(t, "", job.Header.Get("X-Hop"))
	must.StrNotContains(t, fmt.Sprint(job), customerKey)
}

// rawStatus sends text over a new connection and returns the status of the
// response. If half is set, it closes the sending side afterwards.
func rawStatus(t *testing.T, address, text string, half bool) string {
	t.Helper()
	var d net.Dialer
	conn, err := d.DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	must.NoError(t, err)
	if half {
		must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	must.NoError(t, err)
	return strings.Fields(line)[1]
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(chatBody))
	f.Add([]byte(`{"model":"a:b","stream":true,"max_tokens":3,"messages":[{"role":"user","content":[{"type":"text"}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := ParseCompletion(body)
		if err != nil {
			return
		}
		out, err := c.EngineBody(&config.Route{Model: "m"})
		must.NoError(t, err)
		again, err := ParseCompletion(out)
		must.NoError(t, err)
		must.Eq(t, string(c.Prompt), string(again.Prompt))
	})
}
