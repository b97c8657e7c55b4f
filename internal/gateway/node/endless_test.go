package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// TestTargetThatSendsNoAnswers guards against targets that send bytes without an end: the
// requests fail at once, sound targets are preferred, the log has one line for the change,
// and the requests don't count as those that crash targets.
func TestTargetThatSendsNoAnswers(t *testing.T) {
	endless := strings.Repeat("x", 8<<20)
	for name, c := range map[string]struct{ status, head, framing, body string }{
		"status line":  {"200 " + endless, "", "length", ""},
		"header line":  {"200 OK", sealed + "X: " + endless + "\r\n", "length", ""},
		"header lines": {"200 OK", sealed + strings.Repeat("X: y\r\n", 1<<20), "length", ""},
		"body":         {"200 OK", sealed, "length", endless},
		"chunk":        {"200 OK", sealed, "chunked", endless},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			v := b.start("vm-1")
			v.earnRetries()
			for _, target := range b.apps {
				target.SetResponse(func(run fake.SiteRun) string { return respond(run, c.status, c.head, c.framing, c.body) })
			}
			for i := range 6 {
				must.Eq(t, http.StatusBadGateway, v.request("/commit/", fmt.Sprint("c-", i)).status)
			}
			eventually(t, func() bool { return strings.Contains(v.log.String(), "target sends no answers") })
			for _, target := range b.apps {
				lines := strings.Count(v.log.String(), `msg="target sends no answers" target=`+target.ID+" ")
				must.LessEq(t, 1, lines)
			}
			must.StrNotContains(t, v.log.String(), "quarantined")
			must.Eq(t, 0, v.pool.Budget().Used())

			b.apps[0].SetResponse(nil)
			for i := range 3 {
				must.Eq(t, http.StatusOK, v.request("/lookup/", fmt.Sprint("l-", i)).status)
			}
			faulty := len(b.apps[1].Runs())
			for i := range 10 {
				must.Eq(t, http.StatusOK, v.request("/lookup/", fmt.Sprint("m-", i)).status)
			}
			must.LessEq(t, faulty+3, len(b.apps[1].Runs()))
			must.StrContains(t, v.log.String(), "target sends answers again")
		})
	}
}
