package store

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost reports that the changes after the wanted version are gone and
// that a Snapshot has to be read.
var ErrHistoryLost = errors.New("history of the object API is gone")

// A Feed reads one kind of objects and its changes in order, one call at a
// time, so that the reader decides how long each call may wait.
type Feed interface {
	// Snapshot returns all objects of a kind and the version at which they were
	// read. Errors wrap ErrUnavailable.
	Snapshot(ctx context.Context, kind string) ([]Object, int64, error)
	// Changes waits for changes of a kind later than version after, at most for
	// wait, and returns the version up to which it has read. It returns
	// ErrHistoryLost or an error wrapping ErrUnavailable.
	Changes(ctx context.Context, kind string, after int64, wait time.Duration) ([]Event, int64, error)
}
