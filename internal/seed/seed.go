// Package seed gives the randomised tests their fixed seed, which the
// environment variable SEED replaces.
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

// Rapid sets the seed of pgregory.net/rapid, whose flags must be registered.
// Tests call it from TestMain or before rapid.Check.
func SetRapid() error {
	return flag.Set("rapid.seed", strconv.FormatUint(Value(), 10))
}
