package node

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// malformed returns responses that violate HTTP/1.1. What a lenient reader takes out of
// them looks like a response to the run.
func malformed(run fake.SiteRun) map[string]string {
	valid := respond(run, "200 OK", sealed, "length", "malformed")
	return map[string]string{
		"status 000 with a length":               respond(run, "000 None", sealed, "length", "malformed"),
		"status 000 with a response as its body": respond(run, "000 None", sealed, "length", valid),
		"status 000 before a response":           "HTTP/1.1 000 None\r\n\r\n" + valid,
		"a blank in a name":                      respond(run, "200 OK", sealed+"X Y: malformed\r\n", "length", "malformed"),
		"a blank after a name":                   respond(run, "200 OK", sealed+"X : malformed\r\n", "length", "malformed"),
		"a blank after a length":                 respond(run, "200 OK", sealed+"Content-Length : 3\r\n", "", "malformed"),
		"a blank after a coding":                 respond(run, "200 OK", sealed+"Transfer-Encoding : chunked\r\n", "", "9\r\nmalformed\r\n0\r\n\r\n"),
		"a blank in a name of a refusal":         respond(run, "503 Service Unavailable", notRun+"X Y: malformed\r\n", "length", "malformed"),
		"a refusal that is cut":                  respond(run, "503 Service Unavailable", notRun, "cut", "malformed"),
		"a refusal that is shorter than stated":  respond(run, "429 Too Many Requests", notRun+"Content-Length: 100\r\n", "", "malformed"),
		"a misdirected response that is cut":     respond(run, "421 Misdirected Request", notRun, "cut", "malformed"),
		"a refusal with a malformed chunk":       respond(run, "503 Service Unavailable", notRun+"Transfer-Encoding: chunked\r\n", "", "malformed"),
		"a refusal with a malformed trailer":     respond(run, "503 Service Unavailable", notRun+"Transfer-Encoding: chunked\r\n", "", "0\r\nX Y: malformed\r\n\r\n"),
		"a control byte in a name":               respond(run, "200 OK", sealed+"X\x01: malformed\r\n", "length", "malformed"),
	}
}

// TestMalformedResponseReachesCaller guards against a malformed response of a target of
// which something is passed on, or which counts as a promise that the request did not run.
func TestMalformedResponseReachesCaller(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.earnRetries()
	for name := range malformed(fake.SiteRun{}) {
		for path, c := range map[string]struct {
			targets    [2]*fake.SiteTarget
			repeatable bool
			head, body string
		}{
			"/lookup/":   {b.apps, true, sealed, "sound"},
			"/commit/":   {b.apps, false, sealed, "sound"},
			"/stream/a/": {b.engines, true, sealed + eventType, wholeStream()},
			"/stream/b/": {b.engines, false, sealed + eventType, wholeStream()},
		} {
			// send sends a request to targets of which the first ones asked, up to the
			// given number, respond malformed, and returns the response and the runs.
			send := func(t *testing.T, broken int64) (result, int) {
				t.Helper()
				var asked atomic.Int64
				for _, target := range c.targets {
					target.SetResponse(func(run fake.SiteRun) string {
						if asked.Add(1) <= broken {
							return malformed(run)[name]
						}
						return respond(run, "200 OK", c.head, "length", c.body)
					})
				}
				before := runs(c.targets)
				got := v.request(path, "r")
				must.NoError(t, got.err)
				return got, runs(c.targets) - before
			}
			t.Run(name+" everywhere, "+path, func(t *testing.T) {
				got, n := send(t, 100)
				must.Eq(t, http.StatusBadGateway, got.status)
				must.StrNotContains(t, got.body, "malformed")
				must.Eq(t, "", got.header.Get("Baobabdyke-Response-Seal"))
				must.Eq(t, c.repeatable, n == 2)
			})
			t.Run(name+" at one target, "+path, func(t *testing.T) {
				got, n := send(t, 1)
				must.Eq(t, c.repeatable, n == 2)
				if !c.repeatable {
					must.Eq(t, http.StatusBadGateway, got.status)
					return
				}
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, c.body, got.body)
			})
		}
	}
}

// TestMalformedResponseReplacesSilentTarget guards against a malformed response of a second
// target that is passed on in place of that of a silent one.
func TestMalformedResponseReplacesSilentTarget(t *testing.T) {
	for _, name := range []string{
		"status 000 before a response", "a blank after a coding", "a refusal with a malformed trailer", "a refusal that is shorter than stated",
	} {
		for path, engine := range map[string]bool{"/lookup/": false, "/stream/a/": true} {
			t.Run(name+", "+path, func(t *testing.T) {
				b := newTestbed(t)
				v := b.start("vm-1")
				v.ready()
				targets := b.apps
				if engine {
					targets = b.engines
				}
				var results <-chan result
				silent, other := b.silenceFirst(targets, func() { results = v.send(path) })
				other.SetResponse(func(run fake.SiteRun) string { return malformed(run)[name] })
				eventually(t, func() bool { return len(other.Runs()) == 1 })
				silent.Resume()
				got := <-results
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.StrNotContains(t, got.body, "malformed")
			})
		}
	}
}
