// Package virtual lets benchmarks and randomised tests run in virtual time.
package virtual

import (
	"testing"
	"testing/synctest"
)

// Run runs f in virtual time from a benchmark, which testing/synctest alone
// gives to tests only.
func Run(b *testing.B, f func()) {
	b.Helper()
	all := func(string, string) (bool, error) { return true, nil }
	ok := testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) {
		synctest.Test(t, func(*testing.T) { f() })
	}}})
	if !ok {
		b.Fatal("failed in virtual time")
	}
}

// Bubble runs f in virtual time and passes on what it panics with, which is how
// pgregory.net/rapid ends a sequence.
func Bubble(t *testing.T, f func()) {
	t.Helper()
	var ended any
	synctest.Test(t, func(*testing.T) {
		defer func() { ended = recover() }()
		f()
	})
	if ended != nil {
		panic(ended)
	}
}
