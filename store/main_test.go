package store

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor, since the race detector of Go 1.26
// fails when timers of one synctest bubble fire on two.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
