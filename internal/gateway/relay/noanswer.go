package relay

import (
	"errors"
	"io"
	"sync"
	"syscall"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
)

// maxFaulty is the number of targets that are remembered as sending no answers.
const maxFaulty = 1024

// isBreak reports whether an error means that the connection ended before the response
// did. With any other error the target has sent something that is no response, or too
// much, and is still there.
func isBreak(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncated, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// faultyTargets holds the targets whose latest response was none, so that the log has one
// line when that begins and one when it ends.
type faultyTargets struct {
	mu      sync.Mutex
	targets map[site.Incarnation]bool
}

// begin reports whether the target was not known to be faulty.
func (f *faultyTargets) begin(target site.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targets[target] {
		return false
	}
	if f.targets == nil || len(f.targets) >= maxFaulty {
		f.targets = map[site.Incarnation]bool{}
	}
	f.targets[target] = true
	return true
}

// end reports whether the target was known to be faulty.
func (f *faultyTargets) end(target site.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.targets[target]
	delete(f.targets, target)
	return known
}

// recordNoAnswer records that the target has sent something that is no response.
func (x *exchange) recordNoAnswer(err error) {
	if x.requestCtx.Err() != nil || x.replaced.Load() {
		return
	}
	if h, target := x.handler, x.choice.Target; h.faulty.begin(target.Incarnation()) {
		h.log("msg", "target sends no answers", "target", target.ID, "born", target.Born, "id", x.response.job.info.ID, "err", logline.ErrorText(err))
	}
}

// recordAnswer records that the target has sent a whole response.
func (x *exchange) recordAnswer() {
	if h, target := x.handler, x.choice.Target; h.faulty.end(target.Incarnation()) {
		h.log("msg", "target sends answers again", "target", target.ID, "born", target.Born)
	}
}
