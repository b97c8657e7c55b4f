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

// resumeBody asks for a stream and holds nothing that could be run.
const resumeBody = `{"stream":true}`

// An attempt is one send of a run.
type attempt struct {
	run      *run
	choice   route.Chosen
	deadline *time.Timer
	sent     time.Time
	first    time.Duration
}

// try sends the request and relays the answer. The error tells the chooser
// that the attempt failed.
func (a *attempt) try(ctx context.Context) (step, error) {
	r := a.run
	address := a.choice.Target.Address
	switch result := r.runner.opts.Client.Send(ctx, address, r.request(a.choice, 0)).(type) {
	case target.NotRun:
		switch {
		case result.Unreachable:
			a.note(target.Unreachable{Target: a.choice.Target.Name})
		case result.Stale:
			a.note(target.ReportOutdated{Target: a.choice.Target.Name})
		}
		return r.again(ctx, a.choice, result), eris.New(result.Reason)
	case target.Lost:
		r.risked++
		return a.lost(ctx, result.Err), result.Err
	case target.Responded:
		r.risked++
		if retryableStatus(result.Response.Status) && r.mayRetry() {
			_ = result.Response.Body.Close()
			return a.lost(ctx, eris.Errorf("target answered %d", result.Response.Status)), errors.New("status")
		}
		return a.relay(ctx, result.Response)
	default:
		return step{}, eris.Errorf("unknown result %T", result)
	}
}

// lost follows a send that may have run and has no answer.
func (a *attempt) lost(ctx context.Context, err error) step {
	if ctx.Err() != nil {
		a.cancel(ctx)
		return final(a.run.unknown(context.Cause(ctx).Error()))
	}
	a.note(target.Failed{Target: a.choice.Target.Name})
	a.cancel(ctx)
	return a.run.retry(a.choice, err.Error())
}

// relay passes the answer on and judges how that ended.
func (a *attempt) relay(ctx context.Context, response target.Response) (step, error) {
	end := a.run.answer.Relay(ctx, response, a.resume(), a.firstPart)
	switch end := end.(type) {
	case stream.Complete:
		return final(a.ran(true, "")), nil
	case stream.Broken:
		a.note(target.Failed{Target: a.choice.Target.Name})
		a.cancel(ctx)
		if a.run.answer.Relayed() == 0 {
			return a.run.retry(a.choice, end.Err.Error()), end.Err
		}
		return final(a.ran(false, end.Err.Error())), end.Err
	case stream.Gone:
		a.cancel(ctx)
		if a.run.answer.Relayed() == 0 {
			return final(a.run.unknown(end.Err.Error())), end.Err
		}
		return final(a.ran(false, end.Err.Error())), end.Err
	default:
		return step{}, eris.Errorf("unknown end %T", end)
	}
}

// ran ends a job of which at least a part was passed on.
func (a *attempt) ran(complete bool, reason string) Outcome {
	o := Ran{
		Target:          a.choice.Target.Name,
		Complete:        complete,
		Reason:          reason,
		TimeToFirstPart: a.run.first,
		Parts:           a.run.answer.Relayed(),
	}
	if !complete {
		a.run.log("ran", reason)
		o.MustAbort = !a.run.answer.Fail("ran", reason)
	}
	return o
}

// resume returns how the stream is resumed, nil for a target that cannot.
// The request's body is not sent again, so that a resume cannot run it.
func (a *attempt) resume() stream.ResumeFunc {
	if a.choice.Target.Kind != config.TargetEngine || a.choice.Incarnation == "" {
		return nil
	}
	return func(ctx context.Context, from int64) target.Result {
		if err := a.run.allowed(); err != nil {
			return target.NotRun{Reason: err.Error()}
		}
		req := a.run.request(a.choice, from)
		req.Body = []byte(resumeBody)
		return a.run.runner.opts.Client.Send(ctx, a.choice.Target.Address, req)
	}
}

// firstPart records the first part of the answer.
func (a *attempt) firstPart() {
	if a.first > 0 {
		return
	}
	a.deadline.Stop()
	now := a.run.now()
	a.first = max(1, now.Sub(a.sent))
	a.run.first = now.Sub(a.run.begun)
	a.choice.FirstByte()
}

// cancel tells the target that its work is not wanted any more.
func (a *attempt) cancel(ctx context.Context) {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer done()
		_ = a.run.runner.opts.Client.Cancel(ctx, a.choice.Target.Address, a.run.job.ID)
	}()
}

func (a *attempt) note(e target.Observation) {
	if a.run.runner.opts.Reporter != nil {
		a.run.runner.opts.Reporter.Observe(e)
	}
}
