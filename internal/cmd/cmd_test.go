package cmd

import (
	"bytes"
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const operatorToken = "sample-operators-token"

// A commandCase is one run of the program. Each line of stdout and stderr is a
// regular expression that the output must match; if it is empty, there must be no
// output.
type commandCase struct {
	name   string
	args   string
	code   int
	stdout string
	stderr string
}

// runCases runs the program in this process. In the arguments, OPERATOR is
// replaced by the flags for a fake operators' port.
func runCases(t *testing.T, cases []commandCase) {
	s := httptest.NewServer(http.HandlerFunc(serveOperator))
	t.Cleanup(s.Close)
	operator := "--operator " + strings.TrimPrefix(s.URL, "http://") + " --token-file testdata/token"
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			args := strings.Fields(strings.ReplaceAll(c.args, "OPERATOR", operator))
			code := Main(args, &stdout, &stderr)
			mustMatch(t, c.stdout, stdout.String())
			mustMatch(t, c.stderr, stderr.String())
			must.Eq(t, c.code, code)
		})
	}
}

func mustMatch(t *testing.T, patterns, output string) {
	t.Helper()
	if patterns == "" {
		must.Eq(t, "", output)
		return
	}
	for pattern := range strings.Lines(patterns) {
		must.RegexMatch(t, regexp.MustCompile(strings.TrimSpace(pattern)), output)
	}
}

// serveOperator is a fake operators' port. The ID of a patch selects the outcome in
// the response.
func serveOperator(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+operatorToken {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /patch":
		servePatch(w, r)
	case "POST /drain":
		w.WriteHeader(http.StatusAccepted)
	case "GET /vms":
		_, _ = io.WriteString(w, `[{"state":"serving","id":"vm-1","config":7,"incarnation":1796359783755390977},{"state":"draining","id":"vm-2","config":6}]`)
	case "GET /limits":
		_, _ = io.WriteString(w, `{"customers":[{"customer":"a","tokens":12.5}],"slots":3}`)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// servePatch responds with the outcome that the ID of the patch selects. For other
// IDs it closes the connection.
func servePatch(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for _, c := range []struct {
		id       string
		status   int
		response string
	}{
		{"import-", http.StatusOK, `{"outcome":"accepted","version":1}`},
		{"accepted", http.StatusOK, `{"outcome":"accepted","version":8}`},
		{"conflict", http.StatusConflict, `{"outcome":"conflict","version":9}`},
		{"refused", http.StatusUnprocessableEntity, `{"outcome":"refused","problems":[{"file":"patch.yaml","line":4,"field":"set.routes[0].pool","reason":"unknown pool"}]}`},
		{"broken", http.StatusInternalServerError, `out of order`},
		{"unknown", http.StatusServiceUnavailable, `{"outcome":"unknown","error":"store away"}`},
	} {
		if strings.Contains(string(body), "id: "+c.id) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.response)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// TestShowTables compares printed tables with golden files.
func TestShowTables(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(serveOperator))
	t.Cleanup(s.Close)
	for _, page := range []string{"vms", "limits"} {
		var stdout, stderr bytes.Buffer
		args := []string{"show", page, "--operator", strings.TrimPrefix(s.URL, "http://"), "--token-file", "testdata/token"}
		must.Eq(t, ExitOK, Main(args, &stdout, &stderr))
		want, err := os.ReadFile("testdata/" + page + ".table")
		must.NoError(t, err)
		must.Eq(t, string(want), stdout.String())
	}
}

// TestTLS checks that the certificate of the operators' port is verified.
func TestTLS(t *testing.T) {
	s := httptest.NewTLSServer(http.HandlerFunc(serveOperator))
	t.Cleanup(s.Close)
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	authority := filepath.Join(t.TempDir(), "authority.pem")
	data := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})
	must.NoError(t, os.WriteFile(authority, data, 0o600))
	address := strings.TrimPrefix(s.URL, "https://")
	port := " --operator " + address + " --token-file testdata/token --authority "
	runCases(t, []commandCase{
		{name: "trusted", args: "show life" + port + authority, code: ExitFailure, stderr: "is --operator the operators' port"},
		{name: "trusted patch", args: "patch testdata/patches/accepted.yaml" + port + authority, stdout: "accepted as version 8"},
		{name: "no certificate", args: "show vms" + port + "testdata/token", code: ExitFailure, stderr: "holds no certificate"},
		{name: "other authority", args: "patch testdata/patches/accepted.yaml" + port + "testdata/other.pem", code: ExitFailure, stderr: "not sent: .*certificate"},
	})
}
