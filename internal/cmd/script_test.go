package cmd

import (
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"
)

// TestScripts runs the scripts in testdata/scripts. In addition to the commands of
// testscript they can use "exits CODE ARGUMENTS", which runs the program and
// expects that exit code.
func TestScripts(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(serveOperator))
	t.Cleanup(s.Close)
	testdata, err := filepath.Abs("testdata")
	must.NoError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(e *testscript.Env) error {
			e.Setenv("OPERATOR", strings.TrimPrefix(s.URL, "http://"))
			e.Setenv("TESTDATA", testdata)
			e.Setenv("EXAMPLES", filepath.Join(testdata, "..", "..", "..", "examples"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: exits CODE ARGUMENTS")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	if got := Main(args[1:], ts.Stdout(), ts.Stderr()); got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}
