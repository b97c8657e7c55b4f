// Package virtual runs benchmarks and randomised tests in virtual time.
package virtual

import (
	"testing"
	"testing/synctest"
)

// Run runs f in virtual time from a benchmark, since testing/synctest accepts only
// tests.
func Run(b *testing.B, f func()) {
	b.Helper()
	matchAll := func(string, string) (bool, error) { return true, nil }
	ok := testing.RunTests(matchAll, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) {
		synctest.Test(t, func(*testing.T) { f() })
	}}})
	if !ok {
		b.Fatal("failed in virtual time")
	}
}

// Bubble runs f in virtual time and re-panics with the value of a panic in f, since
// pgregory.net/rapid ends a test case by a panic.
func Bubble(t *testing.T, f func()) {
	t.Helper()
	var panicked any
	synctest.Test(t, func(*testing.T) {
		defer func() { panicked = recover() }()
		f()
	})
	if panicked != nil {
		panic(panicked)
	}
}
