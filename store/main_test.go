package store

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor: the race detector of Go 1.26 does
// not survive timers of one synctest bubble that fire on two.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
