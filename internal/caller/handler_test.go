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

const secret = "sample-secret"

// parts are in-memory stand-ins of all that a Handler puts together.
type parts struct {
	view     *config.View
	fresh    bool
	decision limit.Decision
	entered  queue.Outcome
	claimed  claim.Result
	run      func(ctx context.Context, j dispatch.Job, w http.ResponseWriter) dispatch.Outcome

	jobs      []dispatch.Job
	used      []limit.Cost
	finished  []claim.Response
	abandoned int
}

func newParts() *parts {
	sum := sha256.Sum256([]byte(secret))
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
	return &parts{
		view:     config.NewView(cfg),
		fresh:    true,
		decision: limit.Admitted{Reservation: limit.Reservation{ID: 1}},
		entered:  queue.Admitted{Release: func(time.Duration, bool) {}},
		claimed:  claim.Granted{},
		run: func(_ context.Context, _ dispatch.Job, w http.ResponseWriter) dispatch.Outcome {
			w.Header().Set("Content-Type", "text/plain")
			w.WriteHeader(http.StatusCreated)
			fmt.Fprint(w, "held")
			return dispatch.Ran{Complete: true}
		},
	}
}

func (p *parts) Current() *config.View { return p.view }

func (p *parts) Fresh() bool { return p.fresh }

func (p *parts) Reserve(context.Context, string, limit.Cost) limit.Decision { return p.decision }

func (p *parts) Settle(_ limit.Reservation, used limit.Cost) { p.used = append(p.used, used) }

func (p *parts) Acquire(context.Context, queue.Ticket) queue.Outcome { return p.entered }

func (p *parts) Begin(context.Context, claim.Request) claim.Result { return p.claimed }

func (p *parts) Finish(_ context.Context, _ claim.Ticket, a claim.Response) error {
	p.finished = append(p.finished, a)
	return nil
}

func (p *parts) Abandon(context.Context, claim.Ticket) error {
	p.abandoned++
	return nil
}

func (p *parts) Resolve(entry.Request) entry.Response {
	return entry.Response{VMs: []entry.Address{{Address: "192.0.2.1:80"}}, TTL: 5}
}

func (p *parts) Run(ctx context.Context, j dispatch.Job, w http.ResponseWriter) dispatch.Outcome {
	p.jobs = append(p.jobs, j)
	if err := j.Allowed(); err != nil {
		return dispatch.NotRun{Reason: err.Error()}
	}
	return p.run(ctx, j, w)
}

func (p *parts) handler() *Handler {
	return NewHandler(Options{
		Config: p, Limiter: p, Queue: p, Claims: p, Runner: p, Placer: p,
		Clock: store.SystemClock{}, Log: log.NewNopLogger(),
		Bounds: Bounds{Body: 1 << 10, BodyTime: 100 * time.Millisecond, Answer: 64},
	})
}

// ask sends a request to h without a network.
func ask(t *testing.T, h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// mustFail checks a failure's status, code and outcome.
func mustFail(t *testing.T, w *httptest.ResponseRecorder, status int, code, outcome string) {
	t.Helper()
	must.Eq(t, status, w.Code, must.Sprint(w.Body.String()))
	must.StrContains(t, w.Body.String(), `"code":"`+code+`"`)
	must.Eq(t, outcome, w.Header().Get(HeaderOutcome))
	must.NotEq(t, "", w.Header().Get(HeaderRequestID))
	must.StrNotContains(t, w.Body.String(), secret)
}

const chatBody = `{"model":"verdict","messages":[{"role":"user","content":"is row C free, and is there a ramp?"}]}`

func TestRefusals(t *testing.T) {
	chat, hold := "/v1/chat/completions", "/s/hold/holds"
	idempotent := []string{HeaderIdempotencyKey, "a"}
	cases := []struct {
		name    string
		change  func(*parts)
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
		{"not fresh", func(p *parts) { p.fresh = false }, chat, chatBody, nil, 503, CodeUnavailable, OutcomeNotRun},
		{"over the rate", func(p *parts) { p.decision = limit.Refused{} }, chat, chatBody, nil, 429, CodeRate, OutcomeNotRun},
		{"over the burst", func(p *parts) { p.decision = limit.TooLarge{} }, chat, chatBody, nil, 413, CodeBurst, OutcomeNotRun},
		{"queue full", func(p *parts) { p.entered = queue.Rejected{} }, chat, chatBody, nil, 503, CodeOverload, OutcomeNotRun},
		{"no idempotency key", nil, hold, "{}", nil, 400, CodeBadRequest, OutcomeNotRun},
		{"long idempotency key", nil, hold, "{}", []string{HeaderIdempotencyKey, strings.Repeat("k", 300)}, 400, CodeBadRequest, OutcomeNotRun},
		{"claim pending", func(p *parts) { p.claimed = claim.Pending{} }, hold, "{}", idempotent, 409, CodePending, OutcomeUnknown},
		{"answer not kept", func(p *parts) { p.claimed = claim.Repeated{Response: claim.Response{BodyDropped: true}} }, hold, "{}", idempotent, 409, CodeNotKept, OutcomeRan},
		{"claim mismatch", func(p *parts) { p.claimed = claim.Mismatch{} }, hold, "{}", idempotent, 422, CodeMismatch, OutcomeNotRun},
		{"claim unavailable", func(p *parts) { p.claimed = claim.Unavailable{} }, hold, "{}", idempotent, 503, CodeUnavailable, OutcomeNotRun},
		{"not run", func(p *parts) { p.run = ending(dispatch.NotRun{}) }, chat, chatBody, nil, 503, CodeUnavailable, OutcomeNotRun},
		{"unknown", func(p *parts) { p.run = ending(dispatch.Unknown{}) }, chat, chatBody, nil, 502, CodeUnknown, OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newParts()
			if c.change != nil {
				c.change(p)
			}
			mustFail(t, ask(t, p.handler(), http.MethodPost, c.path, c.body, c.headers...), c.status, c.code, c.outcome)
		})
	}
}

// ending returns a run that writes nothing.
func ending(o dispatch.Outcome) func(context.Context, dispatch.Job, http.ResponseWriter) dispatch.Outcome {
	return func(context.Context, dispatch.Job, http.ResponseWriter) dispatch.Outcome { return o }
}

func TestEntry(t *testing.T) {
	h := newParts().handler()
	w := ask(t, h, http.MethodGet, "/entry?route=verdict&prefix=ff", "")
	must.Eq(t, `{"vms":[{"address":"192.0.2.1:80","datacentre":""}],"ttl":5}`, strings.TrimSpace(w.Body.String()))
	w = ask(t, h, http.MethodGet, "/entry?route=verdict&prefix=xyz", "")
	mustFail(t, w, http.StatusBadRequest, CodeBadRequest, OutcomeNotRun)
	w = ask(t, h, http.MethodGet, "/entry?route=none", "")
	mustFail(t, w, http.StatusNotFound, CodeNotFound, OutcomeNotRun)
}

func TestUsedTokens(t *testing.T) {
	const reserved = 100
	body := strings.Replace(chatBody, "{", `{"max_tokens":100,`, 1)
	streamed := strings.Replace(body, "{", `{"stream":true,`, 1)
	cases := map[string]struct {
		body   string
		ran    dispatch.Ran
		answer string
		output float64
	}{
		"complete stream":   {streamed, dispatch.Ran{Complete: true, Parts: 8}, "", 7},
		"cut stream":        {streamed, dispatch.Ran{Parts: 8}, "", reserved},
		"whole answer":      {body, dispatch.Ran{Complete: true, Parts: 1}, `{"usage":{"completion_tokens":9}}`, 9},
		"answer too long":   {body, dispatch.Ran{Complete: true, Parts: 1}, `{"usage":{"completion_tokens":900}}`, reserved},
		"no usage":          {body, dispatch.Ran{Complete: true, Parts: 1}, `{}`, reserved},
		"answer of no JSON": {body, dispatch.Ran{Complete: true, Parts: 1}, `x`, reserved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newParts()
			p.run = func(_ context.Context, _ dispatch.Job, w http.ResponseWriter) dispatch.Outcome {
				fmt.Fprint(w, c.answer)
				return c.ran
			}
			ask(t, p.handler(), http.MethodPost, "/v1/chat/completions", c.body)
			parsed, err := ParseCompletion([]byte(c.body))
			must.NoError(t, err)
			must.Eq(t, []limit.Cost{{Requests: 1, Tokens: float64(parsed.Tokens()) + c.output}}, p.used)
		})
	}
}

func TestDraining(t *testing.T) {
	h := newParts().handler()
	h.opts.Draining = func() bool { return true }
	w := ask(t, h, http.MethodPost, "/v1/chat/completions", chatBody)
	must.Eq(t, http.StatusCreated, w.Code)
	must.Eq(t, "close", w.Header().Get("Connection"))
}

func TestWithdrawnWhileWaiting(t *testing.T) {
	p := newParts()
	granted := p.view
	h := p.handler()
	withdrawn := *granted.Config
	withdrawn.Customers = []config.Customer{granted.Customers[0]}
	withdrawn.Customers[0].Keys = []config.Key{{ID: "k1", Digest: granted.Customers[0].Keys[0].Digest, Withdrawn: config.WithdrawnCut}}
	later := config.NewView(&withdrawn)

	t.Run("the next check refuses", func(t *testing.T) {
		p.entered = queue.Admitted{Release: func(time.Duration, bool) {}}
		h.opts.Queue = enterFunc(func() { p.view = later })
		mustFail(t, ask(t, h, http.MethodPost, "/v1/chat/completions", chatBody), 401, CodeKey, OutcomeNotRun)
		must.Eq(t, []limit.Cost{{}}, p.used)
	})
	t.Run("a running answer is cut", func(t *testing.T) {
		p.view = granted
		h.opts.Queue = p
		p.run = func(ctx context.Context, _ dispatch.Job, _ http.ResponseWriter) dispatch.Outcome {
			h.Apply(later)
			<-ctx.Done()
			return dispatch.Unknown{Reason: context.Cause(ctx).Error()}
		}
		w := ask(t, h, http.MethodPost, "/v1/chat/completions", chatBody)
		must.StrContains(t, w.Body.String(), errCut.Error())
	})
}

// An enterFunc is a Queue that calls a function while a request waits.
type enterFunc func()

func (f enterFunc) Acquire(context.Context, queue.Ticket) queue.Outcome {
	f()
	return queue.Admitted{Release: func(time.Duration, bool) {}}
}

func TestClaims(t *testing.T) {
	hold := func(t *testing.T, p *parts) *httptest.ResponseRecorder {
		return ask(t, p.handler(), http.MethodPost, "/s/hold/holds", "{}", HeaderIdempotencyKey, "a")
	}
	t.Run("the answer is passed on whole and kept", func(t *testing.T) {
		p := newParts()
		w := hold(t, p)
		must.Eq(t, http.StatusCreated, w.Code)
		must.Eq(t, OutcomeRan, w.Header().Get(HeaderOutcome))
		must.Eq(t, []claim.Response{{Status: 201, ContentType: "text/plain", Body: []byte("held")}}, p.finished)
	})
	t.Run("a large answer is passed on whole and kept as a note", func(t *testing.T) {
		p := newParts()
		p.run = func(_ context.Context, _ dispatch.Job, w http.ResponseWriter) dispatch.Outcome {
			fmt.Fprint(w, "begin ")
			fmt.Fprint(w, strings.Repeat("x", 100))
			return dispatch.Ran{Complete: true}
		}
		w := hold(t, p)
		must.Eq(t, "begin "+strings.Repeat("x", 100), w.Body.String())
		must.Eq(t, []claim.Response{{Status: 200, BodyDropped: true}}, p.finished)
	})
	t.Run("a repeat gets the kept answer and takes nothing of the rate", func(t *testing.T) {
		p := newParts()
		p.claimed = claim.Repeated{Response: claim.Response{Status: 201, Body: []byte("held")}}
		must.Eq(t, "held", hold(t, p).Body.String())
		must.SliceEmpty(t, p.jobs)
		must.Eq(t, []limit.Cost{{}}, p.used)
	})
	t.Run("a part of an answer does not pass for a whole one", func(t *testing.T) {
		p := newParts()
		p.run = func(_ context.Context, _ dispatch.Job, w http.ResponseWriter) dispatch.Outcome {
			fmt.Fprint(w, "begin ")
			return dispatch.Ran{MustAbort: true}
		}
		server := httptest.NewServer(p.handler())
		defer server.Close()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/s/hold/holds", strings.NewReader("{}"))
		must.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+secret)
		r.Header.Set(HeaderIdempotencyKey, "a")
		resp, err := server.Client().Do(r)
		must.NoError(t, err)
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.SliceEmpty(t, p.finished)
	})
	t.Run("a claim that is about to end is waited for", func(t *testing.T) {
		p := newParts()
		h := p.handler()
		looks := 0
		h.opts.Claims = beginFunc(func() claim.Result {
			looks++
			if looks == 1 {
				return claim.Pending{}
			}
			return claim.Repeated{Response: claim.Response{Status: 201, Body: []byte("held")}}
		})
		w := ask(t, h, http.MethodPost, "/s/hold/holds", "{}", HeaderIdempotencyKey, "a")
		must.Eq(t, http.StatusCreated, w.Code)
	})
	t.Run("a claim is freed only if the request did not run", func(t *testing.T) {
		p := newParts()
		p.run = ending(dispatch.NotRun{})
		hold(t, p)
		must.Eq(t, 1, p.abandoned)
		p.run = ending(dispatch.Unknown{})
		hold(t, p)
		must.Eq(t, 1, p.abandoned)
		must.SliceEmpty(t, p.finished)
	})
}

// A beginFunc is a Claimer that answers Begin by a function.
type beginFunc func() claim.Result

func (f beginFunc) Begin(context.Context, claim.Request) claim.Result { return f() }

func (f beginFunc) Finish(context.Context, claim.Ticket, claim.Response) error { return nil }

func (f beginFunc) Abandon(context.Context, claim.Ticket) error { return nil }

func TestRawConnections(t *testing.T) {
	p := newParts()
	server := httptest.NewServer(p.handler())
	t.Cleanup(server.Close)
	start := "POST /s/hold/holds HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + secret + "\r\nIdempotency-Key: a\r\n"
	cases := []struct {
		name  string
		text  string
		close bool
		want  string
	}{
		{"trickled", start + "Content-Length: 10\r\n\r\n{", false, "408"},
		{"cut off", start + "Content-Length: 10\r\n\r\n{", true, "400"},
		{"two lengths", start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n{}", false, "400"},
		{"length and chunks", start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, "201"},
		{"key in a trailer", start + chunked("X-Api-Key: "+secret), false, "400"},
		{"other trailer", start + chunked("X-Sum: 1"), false, "201"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, rawStatus(t, server.Listener.Addr().String(), c.text, c.close))
		})
	}
}

// chunked returns the rest of a request whose chunked body ends with a trailer.
func chunked(trailer string) string {
	name, _, _ := strings.Cut(trailer, ":")
	return "Trailer: " + name + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + trailer + "\r\n\r\n"
}

func TestStrippedRequest(t *testing.T) {
	p := newParts()
	w := ask(t, p.handler(), http.MethodPost, "/s/hold/holds?seat=C7", "{}",
		HeaderIdempotencyKey, "a", "Cookie", "session="+secret, "Connection", "X-Hop", "X-Hop", "1", "X-Mine", "2")
	must.Eq(t, http.StatusCreated, w.Code, must.Sprint(w.Body.String()))
	job := p.jobs[0]
	must.Eq(t, "/holds?seat=C7", job.Path)
	must.Eq(t, "2", job.Header.Get("X-Mine"))
	must.Eq(t, "", job.Header.Get("X-Hop"))
	must.StrNotContains(t, fmt.Sprint(job), secret)
}

// rawStatus sends text over a connection of its own and returns the status of
// the answer.
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
		out, err := c.Body(&config.Route{Model: "m"})
		must.NoError(t, err)
		again, err := ParseCompletion(out)
		must.NoError(t, err)
		must.Eq(t, string(c.Prompt), string(again.Prompt))
	})
}
