package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/gateway/hedge"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// hedging are settings under which half of the requests may be hedged.
var hedging = settings.Hedge{Requests: 0.5, Tokens: 0.5, Quantile: 0.9}

// alone is a prompt without a part that others may share, so that any engine may get it.
var alone = []string{"Baobabdyke-Prefix-Hash", "own:100", "Baobabdyke-Deadline-Ms", "8000"}

// learn gives a VM samples of its routes at other targets, all of which took the same time,
// and the credit and retry budget of as many requests.
func (v *testVM) learn(took time.Duration) {
	now := time.Now()
	for i := range 100 {
		for route, size := range map[string]int{"chat": 100, "verdict": 100, "lookup": len("the body"), "commit": len("the body")} {
			a := v.hedger.Watch(hedge.Attempt{Route: route, Target: fmt.Sprint("other-", i), Size: size, Tokens: 100}, true, now.Add(-took))
			v.hedger.Answered(a, now)
		}
		v.budget.Earn("llm", now)
		v.budget.Earn("app", now)
	}
}

func (v *testVM) hedges() hedge.Report { return v.hedger.Report(time.Now()) }

// startHedging runs a VM that hedges responses that take longer than the given time.
func (b *testbed) startHedging(after time.Duration) *testVM {
	b.t.Helper()
	b.hedge = hedging
	b.retries = settings.Retries{Ratio: 1, Slack: 1000, Window: time.Minute}
	v := b.start("vm-1")
	v.ready()
	v.learn(after)
	return v
}

// A duel is two targets of one service: one gets the request first and the other the hedge.
type duel struct {
	mu    sync.Mutex
	asked []*http.Request
	// hedged is closed when the second target has got the request, and answered when the
	// test lets one of them answer.
	hedged chan struct{}
	// closed receives the position of a target whose connection was closed.
	closed chan int
}

// newDuel replaces the targets of a service. Each of the two that are asked calls serve with
// its position.
func (b *testbed) newDuel(service, path string, serve func(d *duel, position int, c net.Conn)) *duel {
	b.t.Helper()
	d := &duel{hedged: make(chan struct{}), closed: make(chan int, 2)}
	for i := range 2 {
		b.store.Remove("servers", fmt.Sprintf("%s-%d", service, i))
		b.rawListener(service, fmt.Sprintf("raw-%d", i), func(c net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil || r.URL.Path != path {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			d.mu.Lock()
			d.asked = append(d.asked, r)
			position := len(d.asked)
			d.mu.Unlock()
			if position == 2 {
				close(d.hedged)
			}
			serve(d, position, c)
		})
	}
	return d
}

// awaitTargets waits until the VM knows the targets of a duel alone.
func (v *testVM) awaitTargets() {
	eventually(v.t, func() bool {
		targets := v.source.View().Targets
		return len(targets) == 4 && targets["raw-0"] != nil && targets["raw-1"] != nil
	})
}

// awaitClose reads until the VM closes the connection.
func (d *duel) awaitClose(position int, c net.Conn) {
	_, _ = io.Copy(io.Discard, c)
	d.closed <- position
}

func (d *duel) requests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.asked)
}

const (
	streamHead = "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: r\r\n" + sealed + eventType + "Transfer-Encoding: chunked\r\n\r\n"
	plainHead  = "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: r\r\n" + sealed + "Content-Length: 5\r\n\r\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestFirstEventDecides guards against a hedge whose winner's answer is not whole, and against
// a loser that goes on running: the winner sends the rest of its answer only once the loser's
// connection was closed.
func TestFirstEventDecides(t *testing.T) {
	for _, c := range []struct {
		name, service, path, want string
		winner                    int
		// before is what the loser sends, and begin and rest what the winner sends before
		// and after the loser's connection is closed.
		before, begin, rest string
	}{
		{"a stream of the hedge", "llm", "/stream/a/", wholeStream(), 2, "", streamHead + chunk(events(1, 1)), chunk(events(2, 6)) + "0\r\n\r\n"},
		{"a stream of the hedge after a header", "llm", "/stream/a/", wholeStream(), 2, streamHead, streamHead + chunk(events(1, 1)), chunk(events(2, 6)) + "0\r\n\r\n"},
		{"a stream of the hedge after half an event", "llm", "/stream/a/", wholeStream(), 2, streamHead + chunk("id: 1\nda"), streamHead + chunk(events(1, 1)), chunk(events(2, 6)) + "0\r\n\r\n"},
		{"a stream of the first target", "llm", "/stream/a/", wholeStream(), 1, "", streamHead + chunk(events(1, 1)), chunk(events(2, 6)) + "0\r\n\r\n"},
		{"a stream of the first target after a header", "llm", "/stream/a/", wholeStream(), 1, streamHead, streamHead + chunk(events(1, 1)), chunk(events(2, 6)) + "0\r\n\r\n"},
		{"a plain answer of the hedge", "app", "/lookup/", "whole", 2, "", plainHead + "whole", ""},
		{"a plain answer of the hedge after a part", "app", "/lookup/", "whole", 2, plainHead + "who", plainHead + "whole", ""},
		{"a plain answer of the first target", "app", "/lookup/", "whole", 1, "", plainHead + "whole", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t)
			closed := make(chan struct{})
			sent := make(chan struct{})
			d := b.newDuel(c.service, c.path, func(d *duel, position int, conn net.Conn) {
				if position != c.winner {
					_, _ = io.WriteString(conn, c.before)
					close(sent)
					d.awaitClose(position, conn)
					close(closed)
					return
				}
				<-d.hedged
				<-sent
				// The VM receives what the loser has sent.
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(conn, c.begin)
				if c.rest != "" {
					<-closed
					_, _ = io.WriteString(conn, c.rest)
				}
				// A connection that stays open is reused.
				_, _ = io.Copy(io.Discard, conn)
			})
			v := b.startHedging(40 * time.Millisecond)
			v.awaitTargets()
			got := v.request(c.path, "r", alone...)
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, c.want, got.body)
			must.Eq(t, 3-c.winner, <-d.closed)
			must.Eq(t, 2, d.requests())
			eventually(t, func() bool { r := v.hedges(); return r.Won+r.Lost == 1 })
			report := v.hedges()
			must.Eq(t, 1, report.Sent)
			must.Eq(t, c.winner == 2, report.Won == 1)
			must.StrContains(t, v.log.String(), `msg="hedge sent"`)
			must.StrContains(t, v.log.String(), fmt.Sprintf("won=%t", c.winner == 2))
			eventually(t, func() bool {
				loads, _ := v.placer.Loads(time.Now())
				return len(loads) == 0
			})
		})
	}
}

// TestHedgeIsChargedOnce guards against a customer that pays for both targets.
func TestHedgeIsChargedOnce(t *testing.T) {
	b := newTestbed(t)
	v := b.startHedging(40 * time.Millisecond)
	must.Eq(t, http.StatusOK, v.request("/stream/a/", "before", alone...).status)
	once := v.quota.Spent()["c"]
	must.Positive(t, once)
	var results <-chan result
	silent, other := b.silenceFirst(b.engines, func() { results = v.sendAlone("/stream/a/") })
	got := <-results
	must.Eq(t, wholeStream(), got.body)
	silent.Resume()
	must.Eq(t, 1, v.hedges().Won)
	must.Eq(t, 100, v.hedges().Tokens)
	must.Positive(t, len(other.Runs()))
	must.Eq(t, 2*once, v.quota.Spent()["c"])
}

// sendAlone is send for a prompt without a part that others may share.
func (v *testVM) sendAlone(path string) <-chan result {
	results := make(chan result, 1)
	go func() { results <- v.request(path, "r", alone...) }()
	return results
}

// TestOnlyWhatMayBeHedgedIs guards against hedges of requests that may not be repeated, of
// routes that are not named, where no limit is set, and beyond the limits.
func TestOnlyWhatMayBeHedgedIs(t *testing.T) {
	named := hedging
	named.Routes = []string{"another"}
	for _, c := range []struct {
		name, path string
		hedge      settings.Hedge
		ratio      float64
		// denied is the reason that is counted.
		denied string
	}{
		{"a request that may not be repeated", "/commit/", hedging, 1, ""},
		{"a stream that cannot be resumed", "/stream/b/", hedging, 1, ""},
		{"another route", "/stream/a/", named, 1, ""},
		{"no setting", "/stream/a/", settings.Hedge{}, 1, ""},
		{"a limit below one request", "/stream/a/", settings.Hedge{Requests: 0.0001, Tokens: 0.5, Quantile: 0.9}, 1, "the limit of requests"},
		{"a limit below its tokens", "/stream/a/", settings.Hedge{Requests: 0.5, Tokens: 0.0001, Quantile: 0.9}, 1, "the limit of tokens"},
		{"no retry budget", "/stream/a/", hedging, 0.001, "the retry budget"},
		{"no setting, a plain request", "/lookup/", settings.Hedge{}, 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t)
			b.hedge = c.hedge
			b.retries = settings.Retries{Ratio: c.ratio, Window: time.Minute}
			v := b.start("vm-1")
			v.ready()
			v.learn(20 * time.Millisecond)
			targets := b.engines
			if strings.HasPrefix(c.path, "/stream/") == false {
				targets = b.apps
			}
			for _, target := range targets {
				target.Silence()
				t.Cleanup(target.Resume)
			}
			results := v.sendAlone(c.path)
			eventually(t, func() bool { return runs(targets) == 1 })
			if c.denied == "" {
				time.Sleep(200 * time.Millisecond)
			} else {
				eventually(t, func() bool { return v.hedges().Denied[c.denied] == 1 })
				must.Eq(t, 1, v.hedges().DeniedByLimit)
			}
			must.Eq(t, 1, runs(targets))
			for _, target := range targets {
				target.Resume()
			}
			must.Eq(t, http.StatusOK, (<-results).status)
			must.Eq(t, 0, v.hedges().Sent)
		})
	}
}

// TestHedgeKeepsToScopeAndWeights guards against a hedge that uses KV cache which its customer
// may not use any more, or that was made by other weights than its target has.
func TestHedgeKeepsToScopeAndWeights(t *testing.T) {
	b := newTestbed(t)
	v := b.startHedging(time.Second)
	b.isolate(v, false)
	var results <-chan result
	silent, other := b.silenceFirst(b.engines, func() { results = v.sendAlone("/stream/a/") })
	b.isolate(v, true)
	must.Eq(t, http.StatusOK, (<-results).status)
	silent.Resume()
	must.Eq(t, 1, v.hedges().Won)
	scopes := b.scopes()
	must.MapLen(t, 2, scopes, must.Sprint(scopes))
	for _, engine := range []*fake.SiteTarget{silent, other} {
		header := engine.Runs()[0].Header
		must.StrHasPrefix(t, "m.v"+header.Get("Baobabdyke-Expect-Version"), header.Get("Baobabdyke-Cache-Salt"))
		must.Eq(t, engine.ID, header.Get("Baobabdyke-Expect-Instance"))
	}
}

// TestHedgeSettingsAreReloaded guards against limits that stay in force after they were
// changed.
func TestHedgeSettingsAreReloaded(t *testing.T) {
	b := newTestbed(t)
	v := b.startHedging(40 * time.Millisecond)
	must.True(t, v.hedges().On)
	changed := v.settings
	gateway := *changed.Gateway
	gateway.Hedge = settings.Hedge{Quantile: 0.9}
	changed.Gateway = &gateway
	v.Reload(changed)
	must.False(t, v.hedges().On)
	must.StrContains(t, v.log.String(), "gateway.hedge.requests: 0.5 -> 0")
	status, body := v.get("http://" + v.settings.Operators.Address + "/metrics")
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, body, `"vm-1.hedges"`)
	_, body = v.get("http://" + v.settings.Operators.Address + "/dump")
	must.StrContains(t, body, `"Hedges":{"sent":0`)
}
