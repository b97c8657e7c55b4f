package cmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/gateway/relay"
)

// explainRoute runs the command against a fake operators' port and returns its exit code and
// output, and the question that the port got.
func explainRoute(t *testing.T, status int, body string, args ...string) (code int, stdout, stderr string, q relay.Question) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/explain/route" || r.Header.Get("Authorization") != "Bearer "+operatorToken {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_ = json.NewDecoder(r.Body).Decode(&q)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer s.Close()
	var out, errors bytes.Buffer
	args = append([]string{"explain", "route", "--operator", strings.TrimPrefix(s.URL, "http://"), "--token-file", "testdata/token"}, args...)
	code = Main(args, &out, &errors)
	return code, out.String(), errors.String(), q
}

func TestExplainRoute(t *testing.T) {
	data, err := os.ReadFile("testdata/explained.json")
	must.NoError(t, err)
	explained := string(data)
	request := []string{"--host", "chat.example", "--path", "/v1/"}
	t.Run("for a person", func(t *testing.T) {
		code, stdout, stderr, _ := explainRoute(t, http.StatusOK, explained, request...)
		must.Eq(t, ExitOK, code)
		must.Eq(t, "", stderr)
		want, err := os.ReadFile("testdata/explained.table")
		must.NoError(t, err)
		must.Eq(t, string(want), stdout)
	})
	t.Run("refused", func(t *testing.T) {
		refused := strings.Replace(explained, `"request":`, `"refused":{"status":429,"reason":"the customer is over its limit","retryafterms":350},"request":`, 1)
		code, stdout, _, _ := explainRoute(t, http.StatusOK, refused, request...)
		must.Eq(t, ExitOK, code)
		must.StrContains(t, stdout, "refused with 429, Retry-After 0.350 s: the customer is over its limit")
	})
	t.Run("for a program", func(t *testing.T) {
		code, stdout, _, _ := explainRoute(t, http.StatusOK, explained, append(request, "--json")...)
		must.Eq(t, ExitOK, code)
		must.Eq(t, explained, stdout)
	})
	t.Run("flags", func(t *testing.T) {
		_, _, _, q := explainRoute(t, http.StatusOK, explained, append(request, "--customer", "saldo", "--model", "m", "--prefix", "aa:50,own:20",
			"--tokens", "70", "--answer", "6", "--size", "300", "--deadline", "4s", "--id", "r-1")...)
		must.Eq(t, relay.Question{
			Host: "chat.example", Path: "/v1/", Customer: "saldo", Model: "m", PromptTokens: 70, AnswerTokens: 6, BodyBytes: 300, DeadlineMS: 4000, ID: "r-1",
			Segments: []relay.QuestionSegment{{ID: "aa", Tokens: 50}, {ID: "own", Tokens: 20}},
		}, q)
	})
	t.Run("a file, and flags before it", func(t *testing.T) {
		_, _, _, q := explainRoute(t, http.StatusOK, explained, "--file", "testdata/question.json", "--model", "other")
		must.Eq(t, relay.Question{Host: "chat.example", Path: "/v1/", Customer: "saldo", Model: "other"}, q)
	})
	for _, c := range []struct {
		name   string
		status int
		body   string
		args   []string
		code   int
		want   string
	}{
		{"an unknown customer", http.StatusUnprocessableEntity, "unknown customer \"x\"\n", request, ExitFailure, `unknown customer "x"`},
		{"a VM without a token", http.StatusForbidden, "this VM has no operators' token: set operators.token\n", request, ExitFailure, "operators.token"},
		{"a wrong token", http.StatusUnauthorized, "", request, ExitFailure, "does not accept the operators' token"},
		{"no path", http.StatusOK, explained, []string{"--host", "h"}, ExitUsage, "--path"},
		{"an invalid prefix", http.StatusOK, explained, append(request, "--prefix", "aa"), ExitUsage, `"aa" is not ID:TOKENS`},
		{"no file", http.StatusOK, explained, []string{"--file", "testdata/missing.json"}, ExitUsage, "no such file"},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr, _ := explainRoute(t, c.status, c.body, c.args...)
			must.Eq(t, c.code, code)
			must.Eq(t, "", stdout)
			must.StrContains(t, stderr, c.want)
		})
	}
}

// TestJoinExplainRoute guards against a request with the id "route" that can't be followed
// through logs any more.
func TestJoinExplainRoute(t *testing.T) {
	for args, want := range map[string]string{
		"explain route":           "explain-route",
		"explain route --host h":  "explain-route --host h",
		"explain route vm.log":    "explain route vm.log",
		"explain r-1 vm.log":      "explain r-1 vm.log",
		"show route --operator o": "show route --operator o",
		"explain":                 "explain",
	} {
		must.Eq(t, want, strings.Join(joinExplainRoute(strings.Fields(args)), " "))
	}
}
