// Package seed provides the seed of randomised tests. It is fixed unless the
// environment variable SEED is set.
package seed

import (
	"flag"
	"os"
	"strconv"
)

// Default is the seed that CI uses.
const Default uint64 = 20261204

// Value returns the seed of this run.
func Value() uint64 {
	n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		return Default
	}
	return n
}

// SetRapid sets the seed of pgregory.net/rapid, whose flags must be registered
// already. Tests call it from TestMain or before rapid.Check.
func SetRapid() error {
	return flag.Set("rapid.seed", strconv.FormatUint(Value(), 10))
}
