package store

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost is returned when the changes after the requested version are no
// longer available and a Snapshot has to be read.
var ErrHistoryLost = errors.New("object store history no longer reaches back to the version")

// A Feed reads objects of one kind and their changes in order by long polling,
// so that the reader decides how long each call may wait.
type Feed interface {
	// Snapshot returns all objects of a kind and the version at which they were
	// read. Errors wrap ErrUnavailable.
	Snapshot(ctx context.Context, kind string) ([]Object, int64, error)
	// Changes waits up to wait for changes of a kind after version after. It
	// returns them and the version up to which it has read. Its errors are
	// ErrHistoryLost or wrap ErrUnavailable.
	Changes(ctx context.Context, kind string, after int64, wait time.Duration) ([]Event, int64, error)
}
