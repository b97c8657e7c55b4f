package node

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

// explain asks a VM how it would handle a request.
func (v *testVM) explain(token, question string) (status int, body string) {
	v.t.Helper()
	r, err := http.NewRequestWithContext(v.t.Context(), http.MethodPost, "http://"+v.settings.Operators.Address+"/explain/route", strings.NewReader(question))
	must.NoError(v.t, err)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(r)
	must.NoError(v.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	must.NoError(v.t, err)
	return resp.StatusCode, string(data)
}

// explanation is explain for a question that is answered.
func (v *testVM) explanation(question string) (e RouteExplanation) {
	v.t.Helper()
	status, body := v.explain("secret", question)
	must.Eq(v.t, http.StatusOK, status, must.Sprint(body))
	must.StrNotContains(v.t, body, `"key"`)
	must.NoError(v.t, json.Unmarshal([]byte(body), &e))
	return e
}

const chatQuestion = `{"host":"h","path":"/stream/a/","customer":"c","model":"m","prompttokens":100,"answertokens":10,
 "segments":[{"id":"aa","tokens":50},{"id":"own","tokens":50}],"deadlinems":2500}`

func TestExplainRoute(t *testing.T) {
	b := newTestbed(t)
	b.tokenFile = filepath.Join(t.TempDir(), "token")
	must.NoError(t, os.WriteFile(b.tokenFile, []byte("secret\n"), 0o600))
	v := b.start("vm-1")
	v.ready()

	t.Run("only with the operators' token", func(t *testing.T) {
		for _, token := range []string{"", "other", "secret "} {
			status, body := v.explain(token, chatQuestion)
			if token == "secret " {
				// White space around a header is no part of it.
				must.Eq(t, http.StatusOK, status)
				continue
			}
			must.Eq(t, http.StatusUnauthorized, status)
			must.StrNotContains(t, body, "chat")
		}
	})
	t.Run("a request that would be sent", func(t *testing.T) {
		e := v.explanation(chatQuestion)
		must.Nil(t, e.Refused)
		must.Eq(t, "chat", e.Route.Name)
		must.Eq(t, "llm", e.Route.Service)
		must.True(t, e.Route.Repeatable)
		must.Eq(t, 110, e.Customer.Cost)
		must.True(t, e.Customer.Admitted)
		must.Eq(t, 2500, e.Request.DeadlineMS)
		must.Len(t, 2, e.Placement.Candidates)
		must.True(t, e.Placement.Candidates[0].Chosen)
		must.True(t, e.Placement.Candidates[0].Home)
		must.Eq(t, "vm-1", e.VM)
		must.True(t, e.Ready)
		// It is the decision about the request.
		got := v.request("/stream/a/", "r", "Baobabdyke-Prefix-Hash", "aa:50,own:50")
		must.Eq(t, http.StatusOK, got.status)
		must.StrHasPrefix(t, "seal-"+e.Placement.Candidates[0].Target, got.header.Get("Baobabdyke-Response-Seal"))
	})
	t.Run("nothing is sent or charged", func(t *testing.T) {
		ran, spent := runs(b.engines), v.quota.Spent()["c"]
		for range 20 {
			v.explanation(chatQuestion)
		}
		must.Eq(t, ran, runs(b.engines))
		must.Eq(t, spent, v.quota.Spent()["c"])
		must.StrNotContains(t, v.log.String(), "explained")
	})
	t.Run("refusals", func(t *testing.T) {
		for question, want := range map[string]int{
			`{"host":"h","path":"/lookup/"}`:                                         http.StatusUnauthorized,
			`{"host":"h","path":"/lookup/","customer":"c","bodybytes":99999999}`:     http.StatusRequestEntityTooLarge,
			`{"host":"h","path":"/lookup/","customer":"c","prompttokens":900000000}`: http.StatusTooManyRequests,
		} {
			e := v.explanation(question)
			must.NotNil(t, e.Refused, must.Sprint(question))
			must.Eq(t, want, e.Refused.Status)
			must.Eq(t, want == http.StatusTooManyRequests, e.Refused.RetryAfterMS > 0)
		}
		for _, target := range v.source.View().Targets {
			v.placer.RecordNotice(target.Incarnation(), site.Notice{Pause: time.Second}, time.Now())
		}
		e := v.explanation(`{"host":"h","path":"/open/"}`)
		must.Eq(t, http.StatusServiceUnavailable, e.Refused.Status)
		must.Between(t, 500, e.Refused.RetryAfterMS, 1000)
		must.Eq(t, "has asked for a pause or is at its limit", e.Placement.Candidates[0].Reason)
		must.Nil(t, e.Customer)
	})
	t.Run("what is not known", func(t *testing.T) {
		for question, want := range map[string]string{
			`{"host":"h","path":"/nowhere/"}`:                                `unknown route "h/nowhere/"`,
			`{"host":"h","path":"/lookup/","customer":"x"}`:                  `unknown customer "x"`,
			`{"host":"h","path":"/stream/a/","customer":"c","model":"none"}`: `unknown model "none"`,
		} {
			status, body := v.explain("secret", question)
			must.Eq(t, http.StatusUnprocessableEntity, status)
			must.StrContains(t, body, want)
		}
		status, body := v.explain("secret", `{"host":"h","key":"key"}`)
		must.Eq(t, http.StatusBadRequest, status)
		must.StrContains(t, body, "unknown field")
	})
}

// TestExplainRouteNeedsToken guards against a page that anybody can read where no token is set.
func TestExplainRouteNeedsToken(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	for _, token := range []string{"", "secret"} {
		status, body := v.explain(token, chatQuestion)
		must.Eq(t, http.StatusForbidden, status)
		must.StrContains(t, body, "operators.token")
	}
	status, _ := v.get("http://" + v.settings.Operators.Address + "/dump")
	must.Eq(t, http.StatusOK, status, must.Sprint("the other pages need none"))
}
