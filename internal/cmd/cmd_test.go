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
// regular expression that the output must match; an empty one wants no output.
type commandCase struct {
	name   string
	args   string
	code   int
	stdout string
	stderr string
}

// runCases runs the program in this process. In arguments, OPERATOR stands for
// a stand-in of the operators' port with its token.
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

// serveOperator is a stand-in of the operators' port. The id of a patch names
// the outcome that it answers with.
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
		_, _ = io.WriteString(w, `[{"state":"serving","id":"vm-1","config":7},{"state":"draining","id":"vm-2","config":6}]`)
	case "GET /limits":
		_, _ = io.WriteString(w, `{"customers":[{"customer":"a","tokens":12.5}],"slots":3}`)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// servePatch answers with the outcome that the body names.
func servePatch(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for _, c := range []struct {
		id     string
		status int
		answer string
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
			_, _ = io.WriteString(w, c.answer)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

func TestUsage(t *testing.T) {
	runCases(t, []commandCase{
		{name: "no subcommand", code: ExitUsage, stderr: "Usage: baobabdyke\nExit codes: "},
		{name: "help", args: "--help", stdout: "patch +change the configuration"},
		{name: "help of a subcommand", args: "patch --help", stdout: "operators' port of any VM"},
		{name: "unknown subcommand", args: "fly", code: ExitUsage, stderr: "invalid subcommand: fly"},
		{name: "missing argument", args: "check", code: ExitUsage, stderr: "FILE|file is required"},
		{name: "missing file", args: "check testdata/missing.yaml", code: ExitUsage, stderr: "no such file"},
	})
}

func TestCheck(t *testing.T) {
	runCases(t, []commandCase{
		{name: "hakata", args: "check ../../examples/hakata.yaml", stdout: "5 customers, 5 routes, 1 models, 14 targets"},
		{name: "saldo", args: "check ../../examples/saldo.yaml", stdout: "5 customers, 5 routes, 1 models, 16 targets"},
		{name: "settings", args: "check --settings ../../examples/settings.yaml", stdout: "settings of VM hakata-vm-1"},
		{name: "patch", args: "check --patch testdata/patches/accepted.yaml", stdout: "patch accepted against version 7"},
		{name: "malformed", args: "check testdata/bad/malformed.yaml", code: ExitUsage, stderr: `malformed.yaml:3: `},
		{name: "unknown and duplicate fields", args: "check testdata/bad/fields.yaml", code: ExitUsage, stderr: `fields.yaml:4: customers.a..colour: is not a known field
			fields.yaml:6: customers.a..routes: stands twice, first on line 5`},
		{name: "values", args: "check testdata/bad/values.yaml", code: ExitUsage, stderr: `values.yaml:3: .*piece: .*permitted: 
			values.yaml:8: .*pool: .*nowhere
			values.yaml:9: .*deadline: .*permitted: more than 0
			values.yaml:13: .*digest: .*permitted: 64
			values.yaml:14: .*rate.requests: .*permitted: more than 0`},
		{name: "empty", args: "check testdata/bad/empty.yaml", code: ExitUsage, stderr: "empty.yaml"},
		{name: "configuration as settings", args: "check --settings ../../examples/hakata.yaml", code: ExitUsage, stderr: "models: is not a known field"},
		{name: "settings as configuration", args: "check ../../examples/settings.yaml", code: ExitUsage, stderr: "callers: is not a known field"},
		{name: "bad settings", args: "check --settings testdata/bad/settings.yaml", code: ExitUsage, stderr: `settings.yaml:4: callers.address: .*permitted: IP:port
			peers.secret: `},
		{name: "half valid patch", args: "check --patch testdata/bad/patch-halfvalid.yaml", code: ExitUsage, stderr: "halfvalid.yaml:7: withdraw.0..colour: is not a known field"},
	})
}

func TestPatch(t *testing.T) {
	runCases(t, []commandCase{
		{name: "accepted", args: "patch testdata/patches/accepted.yaml OPERATOR", stdout: "accepted as version 8"},
		{name: "first", args: "patch --first ../../examples/hakata.yaml OPERATOR", stdout: "accepted as version 1"},
		{name: "conflict", args: "patch testdata/patches/conflict.yaml OPERATOR", code: ExitConflict, stderr: "conflict: the current version is 9; nothing was changed"},
		{name: "unknown", args: "patch testdata/patches/unknown.yaml OPERATOR", code: ExitUnknown, stderr: `unknown: the patch may or may not be in force \(store away\)`},
		{name: "answer lost", args: "patch testdata/patches/cut.yaml OPERATOR", code: ExitUnknown, stderr: "unknown: the patch may or may not be in force"},
		{name: "VM broken", args: "patch testdata/patches/broken.yaml OPERATOR", code: ExitUnknown, stderr: "unknown: .*500: out of order"},
		{name: "refused", args: "patch testdata/patches/refused.yaml OPERATOR", code: ExitRefused, stderr: `refused, nothing was changed
			set.routes\[0\].pool: .*unknown pool`},
		{name: "not reached", args: "patch testdata/patches/accepted.yaml --operator 127.0.0.1:1 --token-file testdata/token", code: ExitFailure, stderr: "not sent"},
		{name: "wrong token", args: "patch testdata/patches/accepted.yaml OPERATOR --token-file testdata/othertoken", code: ExitFailure, stderr: "does not accept the operators' token"},
		{name: "malformed", args: "patch testdata/bad/patch-malformed.yaml OPERATOR", code: ExitRefused, stderr: "refused, not sent\nmalformed.yaml:2: is not YAML"},
		{name: "half valid", args: "patch testdata/bad/patch-halfvalid.yaml OPERATOR", code: ExitRefused, stderr: "refused, not sent\nhalfvalid.yaml:7: withdraw.0..colour: is not a known field"},
		{name: "no base", args: "patch testdata/bad/patch-nobase.yaml OPERATOR", code: ExitRefused, stderr: "nobase.yaml:.*base: .*permitted: the version that the patch is against"},
	})
}

func TestShow(t *testing.T) {
	runCases(t, []commandCase{
		{name: "json", args: "show vms -o json OPERATOR", stdout: `"id": "vm-1"`},
		{name: "unknown page", args: "show everything OPERATOR", code: ExitUsage, stderr: `cannot show "everything"; permitted: config, vms, `},
		{name: "unknown format", args: "show vms -o xml OPERATOR", code: ExitUsage, stderr: `no output format "xml"; permitted: json, table`},
		{name: "wrong token", args: "show vms OPERATOR --token-file testdata/othertoken", code: ExitFailure, stderr: "does not accept the operators' token"},
		{name: "no token file", args: "show vms OPERATOR --token-file testdata/missing", code: ExitFailure, stderr: "not sent: .*no such file"},
		{name: "not reached", args: "show vms --operator 127.0.0.1:1 --token-file testdata/token", code: ExitFailure, stderr: "not sent: .*connection refused"},
		{name: "no such page", args: "show leases OPERATOR", code: ExitFailure, stderr: "is --operator the operators' port"},
		{name: "drain", args: "drain OPERATOR", stdout: "drains"},
		{name: "drain with a wrong token", args: "drain OPERATOR --token-file testdata/othertoken", code: ExitFailure, stderr: "does not accept"},
	})
}

// TestShowTables compares whole tables with files.
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

// TestTLS checks that the certificate of the operators' port is checked.
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
