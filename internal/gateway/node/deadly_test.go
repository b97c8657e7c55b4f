package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// replace replaces targets by new incarnations with other ids.
func (b *testbed) replace(service string, targets *[2]*fake.SiteTarget, round int, response func(fake.SiteRun) string) {
	for i, old := range targets {
		b.store.Remove("servers", old.ID)
		targets[i] = b.target(service, fmt.Sprintf("%s-%d-%d", service, i, round))
		targets[i].SetResponse(response)
	}
}

// TestRequestThatCrashesTargetsIsRefused guards against a VM that sends the same request,
// which callers repeat under other ids, to one target after another that crashes under
// it, while other requests with the same prompt segments are answered.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		service, path string
		// crash is the response to the deadly request before the target crashes.
		crash func(fake.SiteRun) string
	}{
		"stream, before its header":      {"llm", "/stream/b/", func(fake.SiteRun) string { return "" }},
		"stream, after its header":       {"llm", "/stream/b/", func(run fake.SiteRun) string { return respond(run, "200 OK", sealed+eventType, "cut", "") }},
		"stream, after its first event":  {"llm", "/stream/b/", func(run fake.SiteRun) string { return respond(run, "200 OK", sealed+eventType, "cut", events(1, 1)) }},
		"stream that is resumed":         {"llm", "/stream/a/", func(run fake.SiteRun) string { return respond(run, "200 OK", sealed+eventType, "cut", events(1, 1)) }},
		"request that runs at most once": {"app", "/commit/", func(fake.SiteRun) string { return "" }},
		"idempotent request":             {"app", "/lookup/", func(fake.SiteRun) string { return "" }},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			v1 := b.start("vm-1")
			v1.ready()
			v2 := b.start("vm-2", v1.settings.Peers.Address)
			v2.ready()
			targets, framing, body := &b.apps, "length", "whole"
			head := sealed
			if c.service == "llm" {
				targets, framing, body, head = &b.engines, "chunked", events(1, 6), sealed+eventType
			}
			answer := func(run fake.SiteRun) string {
				if strings.HasSuffix(run.Path, "deadly") {
					return c.crash(run)
				}
				return respond(run, "200 OK", head, framing, body)
			}
			refused, sent := false, 0
			for round := 0; !refused && round < 12; round++ {
				b.replace(c.service, targets, round, answer)
				eventually(t, func() bool { return len(v1.source.View().Targets) >= 4 })
				eventually(t, func() bool {
					return v1.request(c.path+"sound", "s").status == http.StatusOK && targets[0].Received()+targets[1].Received() > 0
				})
				before := runs(*targets)
				got := v1.request(c.path+"deadly", fmt.Sprint("d-", round))
				refused = got.status == http.StatusServiceUnavailable
				if crashed := runs(*targets) - before; crashed > 0 {
					sent += crashed
				}
				// Losses at about the same time count once.
				time.Sleep(300 * time.Millisecond)
			}
			must.True(t, refused, must.Sprint(v1.log.String()))
			must.LessEq(t, 6, sent)
			eventually(t, func() bool { return strings.Contains(v2.log.String(), `msg="request quarantined"`) })
			before := runs(*targets)
			for _, v := range []*testVM{v1, v2} {
				got := v.request(c.path+"deadly", "again")
				must.Eq(t, http.StatusServiceUnavailable, got.status)
				must.NotEq(t, "", got.header.Get("Retry-After"))
			}
			must.Eq(t, before, runs(*targets))
			must.Eq(t, http.StatusOK, v2.request(c.path+"sound", "s").status)
		})
	}
}
