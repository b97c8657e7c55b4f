package cmd

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

func TestVersion(t *testing.T) {
	var stdout, stderr bytes.Buffer
	must.Eq(t, ExitOK, Main([]string{"version"}, &stdout, &stderr))
	must.StrHasPrefix(t, "baobabdyke ", stdout.String())
	must.Eq(t, "", stderr.String())
}
