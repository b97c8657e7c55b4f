package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/stream"
	"github.com/baobabdyke/baobabdyke/target"
)

// resumeBody is the body of a resume request. It asks for a stream and contains
// no prompt, so that an engine cannot run it as a new request.
const resumeBody = `{"stream":true}`

// An attempt is one send of a job to a target.
type attempt struct {
	run             *run
	choice          route.Chosen
	deadline        *time.Timer
	sentAt          time.Time
	timeToFirstPart time.Duration
}

// send sends the request and relays the response. The error is reported to the
// chooser as a failure of the attempt.
func (a *attempt) send(ctx context.Context) (attemptResult, error) {
	r := a.run
	address := a.choice.Target.Address
	switch result := r.runner.opts.Client.Send(ctx, address, r.request(a.choice, 0)).(type) {
	case target.NotRun:
		switch {
		case result.Unreachable:
			a.report(target.Unreachable{Target: a.choice.Target.Name})
		case result.Stale:
			a.report(target.ReportOutdated{Target: a.choice.Target.Name})
		}
		return r.retryNotRun(ctx, a.choice, result), eris.New(result.Reason)
	case target.Lost:
		r.possibleRuns++
		return a.handleLost(ctx, result.Err), result.Err
	case target.Responded:
		r.possibleRuns++
		if retryableStatus(result.Response.Status) && r.mayRetry() {
			_ = result.Response.Body.Close()
			return a.handleLost(ctx, eris.Errorf("target answered %d", result.Response.Status)), errors.New("retryable response status")
		}
		return a.relay(ctx, result.Response)
	default:
		return attemptResult{}, eris.Errorf("unknown send result %T", result)
	}
}

// handleLost handles a send that may have run but yielded no usable response.
func (a *attempt) handleLost(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		a.cancel(ctx)
		return final(a.run.unknown(context.Cause(ctx).Error()))
	}
	a.report(target.Failed{Target: a.choice.Target.Name})
	a.cancel(ctx)
	return a.run.retryElsewhere(a.choice, err.Error())
}

// relay relays the response to the caller and derives the result of the attempt
// from how that ended.
func (a *attempt) relay(ctx context.Context, response target.Response) (attemptResult, error) {
	end := a.run.response.Relay(ctx, response, a.resume(), a.recordFirstPart)
	switch end := end.(type) {
	case stream.Complete:
		return final(a.finish(true, "")), nil
	case stream.Broken:
		a.report(target.Failed{Target: a.choice.Target.Name})
		a.cancel(ctx)
		if a.run.response.Relayed() == 0 {
			return a.run.retryElsewhere(a.choice, end.Err.Error()), end.Err
		}
		return final(a.finish(false, end.Err.Error())), end.Err
	case stream.Aborted:
		a.cancel(ctx)
		if a.run.response.Relayed() == 0 {
			return final(a.run.unknown(end.Err.Error())), end.Err
		}
		return final(a.finish(false, end.Err.Error())), end.Err
	default:
		return attemptResult{}, eris.Errorf("unknown relay result %T", end)
	}
}

// finish ends a job of which at least a part of the response was relayed.
func (a *attempt) finish(complete bool, reason string) Outcome {
	o := Ran{
		Target:          a.choice.Target.Name,
		Complete:        complete,
		Reason:          reason,
		TimeToFirstPart: a.run.timeToFirstPart,
		Parts:           a.run.response.Relayed(),
	}
	if !complete {
		a.run.log("ran", reason)
		o.MustAbort = !a.run.response.Fail("ran", reason)
	}
	return o
}

// resume returns the function that resumes the stream, or nil if the target does
// not support it. The body of the request is not sent again, so that a resume
// cannot run the request a second time.
func (a *attempt) resume() stream.ResumeFunc {
	if a.choice.Target.Kind != config.TargetEngine || a.choice.Incarnation == "" {
		return nil
	}
	return func(ctx context.Context, from int64) target.Result {
		if err := a.run.checkAllowed(); err != nil {
			return target.NotRun{Reason: err.Error()}
		}
		req := a.run.request(a.choice, from)
		req.Body = []byte(resumeBody)
		return a.run.runner.opts.Client.Send(ctx, a.choice.Target.Address, req)
	}
}

// recordFirstPart stops the deadline and records the time to the first part of
// the response.
func (a *attempt) recordFirstPart() {
	if a.timeToFirstPart > 0 {
		return
	}
	a.deadline.Stop()
	now := a.run.now()
	a.timeToFirstPart = max(1, now.Sub(a.sentAt))
	a.run.timeToFirstPart = now.Sub(a.run.start)
	a.choice.FirstByte()
}

// cancel asks the target, in the background, to stop working on the request.
func (a *attempt) cancel(ctx context.Context) {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer done()
		_ = a.run.runner.opts.Client.Cancel(ctx, a.choice.Target.Address, a.run.job.ID)
	}()
}

func (a *attempt) report(e target.Observation) {
	if a.run.runner.opts.Reporter != nil {
		a.run.runner.opts.Reporter.Observe(e)
	}
}
