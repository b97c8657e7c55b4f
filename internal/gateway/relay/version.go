package relay

import (
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/canary"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
)

// recordVersion records what the attempt showed of the version of its target.
func (x *exchange) recordVersion(end placing.Outcome) {
	if x.handler.opts.Gate == nil {
		return
	}
	now := time.Now()
	a := canary.Answer{Target: x.choice.Target, Route: x.response.job.route.Name, Took: now.Sub(x.sentAt), Cold: x.choice.ColdTime()}
	switch end {
	case placing.Served:
		a.Result = canary.Answered
	case placing.Failed:
		a.Result = canary.Failed
	case placing.Inconclusive:
		a.Result = canary.Ended
	case placing.Rejected, placing.Unreachable:
		// The request did not run.
		return
	}
	x.handler.opts.Gate.Record(a, now)
}
