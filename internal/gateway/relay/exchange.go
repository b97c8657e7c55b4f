package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/quarantine"
	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/hedge"
	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/platform"
)

// maxResponseBytes bounds a plain response, which is buffered until it is
// complete.
const maxResponseBytes = 4 << 20

// maxRejectionBytes bounds the body of a response that reports that the request was not
// run. It is not passed on.
const maxRejectionBytes = intake.Free

// An exchange is one attempt and its response.
type exchange struct {
	handler  *Handler
	response *response
	choice   placing.Choice
	prompt   prompt
	sentAt   time.Time
	// requestCtx is the context of the request, and ctx that of the attempt, which
	// cancel ends.
	requestCtx, ctx context.Context
	cancel          context.CancelFunc
	result          conn.Result
	// info is decoded from the header of the response.
	info platform.ResponseInfo
	// gotFirst reports whether the first event or the whole response has
	// arrived.
	gotFirst bool
	// broken reports whether the target broke off its response.
	broken bool
	// ahead is what was read of the response before the exchange became the one that
	// answers the request.
	ahead readAhead
	// replaced reports whether the attempt was ended because its target was silent
	// and another one had begun to answer.
	replaced atomic.Bool
	standby  *standby
	// watched is the attempt as the hedger knows it; nil if the request may not be hedged.
	watched *hedge.Attempt
	// hedged reports whether the attempt was made because another target was slow.
	hedged bool
}

// newExchange returns an attempt at the chosen target that is not sent yet.
func (h *Handler) newExchange(ctx context.Context, resp *response, choice placing.Choice, p prompt) *exchange {
	x := &exchange{handler: h, response: resp, choice: choice, prompt: p, sentAt: time.Now(), requestCtx: ctx}
	x.ctx, x.cancel = context.WithCancel(ctx)
	h.opts.Placer.Begin(choice, p.prefixes, x.sentAt)
	if h.opts.Gate != nil {
		h.opts.Gate.RecordDeadline(choice.Target.Service, resp.job.deadline.Sub(x.sentAt))
	}
	return x
}

// send sends the request and waits for the header of the response.
func (x *exchange) send() {
	j := x.response.job
	req := conn.Request{
		Method: j.request.Method,
		Path:   j.request.RequestURI,
		Host:   j.request.Host,
		Header: platform.ForwardHeader(j.request.Header, j.forwardOptions(x.choice, x.prompt, x.response.resumeAfter(j))),
		Body:   j.body,
		Matches: func(status int, header http.Header) bool {
			x.info = platform.ReadResponseInfo(status, header)
			return x.info.ID == j.info.ID
		},
	}
	x.result = x.handler.opts.Pool.Do(x.ctx, x.choice.Target.Address, req, !j.route.Repeatable())
	if _, ok := x.result.(conn.Responded); ok {
		x.handler.opts.OnNotice(x.choice.Target.Incarnation(), x.info.Notice, j.info.ID, x.sentAt)
	}
}

// silenceTimeout returns how long a target may send nothing before another one is
// tried.
func (j *job) silenceTimeout() time.Duration {
	if j.engine {
		return max(streamSilence, silenceGoals*j.route.LatencyGoal)
	}
	return time.Duration(plainWaitFraction * float64(time.Until(j.deadline)))
}

// busyTargetTimeout is how recently a silent target must have responded to any
// request for the attempt to continue alone.
const busyTargetTimeout = 700 * time.Millisecond

// pass relays the target's response to the caller.
func (x *exchange) pass(r conn.Responded) (outcome, placing.Outcome) {
	j, info := x.response.job, x.info
	if x.handler.opts.Placer.ObserveWeights(x.choice.Target, j.info.Model, info.WeightsVersion, time.Now()) {
		j.weights = info.WeightsVersion
	}
	if info.NotRun {
		o, end := x.handleNotRun(r)
		if _, ok := o.(lost); ok {
			j.runs++
		}
		return o, end
	}
	j.runs++
	success := r.Response.StatusCode < http.StatusMultipleChoices
	if info.Encoded || success && !info.Sealed {
		r.Exchange.Abort()
		return lost{reason: "the answer is not the target's"}, placing.Failed
	}
	if success && isStream(r.Response) {
		return x.passStream(r)
	}
	return x.passPlain(r)
}

// handleNotRun handles a response that reports that the request was not run. A response
// that breaks off does not count as such a report.
func (x *exchange) handleNotRun(r conn.Responded) (outcome, placing.Outcome) {
	body, err := r.Exchange.ReadBody(maxRejectionBytes)
	switch {
	case err == nil:
		body.Release()
		r.Exchange.Finish()
	case x.ctx.Err() != nil || errors.Is(err, intake.ErrTooLong) || errors.Is(err, intake.ErrNoRoom):
		// The rest is not wanted; the response is not broken as far as it was read.
		r.Exchange.Abort()
	default:
		x.fail(err)
		r.Exchange.Abort()
		return lost{reason: "the rejection broke off: " + err.Error()}, placing.Failed
	}
	if r.Response.StatusCode == http.StatusMisdirectedRequest {
		x.handler.opts.Placer.RecordMismatch(x.choice, x.response.job.info.Model, time.Now())
		return notRun{reason: "misdirected at " + x.info.Target, arrived: true}, placing.Inconclusive
	}
	return notRun{reason: "rejected with " + r.Response.Status, arrived: true}, placing.Rejected
}

// passPlain buffers a response until it is complete.
func (x *exchange) passPlain(r conn.Responded) (outcome, placing.Outcome) {
	j := x.response.job
	body, err := x.readBody(r)
	if err != nil {
		x.fail(err)
		r.Exchange.Abort()
		return lost{reason: "the answer broke off: " + err.Error()}, placing.Failed
	}
	defer body.Release()
	r.Exchange.Finish()
	x.markWhole()
	end := placing.Served
	if r.Response.StatusCode >= http.StatusInternalServerError {
		end = placing.Failed
		if j.route.Repeatable() && j.runs < j.route.MaxAttempts && !x.response.started.Load() && x.handler.worthRepeating(j) {
			return lost{reason: "failed with " + r.Response.Status}, end
		}
	}
	if x.response.started.Load() {
		return lost{reason: "no stream but " + r.Response.Status}, end
	}
	x.standby.deliver()
	x.response.writePlain(x.handler, r.Response, body.Data)
	x.handler.finish(j, r.Response.StatusCode, outcomeAnswered)
	return delivered{}, end
}

// worthRepeating reports whether there is time for another run.
func (h *Handler) worthRepeating(j *job) bool {
	return time.Until(j.deadline) > max(2*minTimeLeft, time.Since(j.start)/2)
}

// fail records why a response can't be read on.
func (x *exchange) fail(err error) {
	if x.broken = isBreak(err) || x.replaced.Load(); !x.broken {
		x.recordNoAnswer(err)
	}
}

// markFirst records the time of the first event or the whole response.
func (x *exchange) markFirst() {
	if x.gotFirst {
		return
	}
	x.gotFirst = true
	j := x.response.job
	if j.timeToFirst == 0 {
		j.timeToFirst = time.Since(j.start)
	}
	x.recordFirst()
	x.handler.opts.Placer.FirstToken(x.choice, time.Since(x.sentAt), time.Now())
	x.handler.opts.Admission.FirstToken(j.ticket, time.Now())
	x.recordAlive()
	x.handler.opts.Quarantine.RecordAnswer(j.shared(), time.Now())
}

// recordAlive records that the target has not crashed since the request was sent.
func (x *exchange) recordAlive() {
	t := x.choice.Target
	x.handler.opts.Quarantine.RecordAlive(quarantine.Engine(t.ID, t.Born), x.sentAt, time.Now())
}

// markWhole records that the whole response has arrived.
func (x *exchange) markWhole() {
	x.markFirst()
	x.recordAnswer()
	x.recordAlive()
	x.handler.opts.Quarantine.RecordAnswer(x.response.job.contents, time.Now())
}

// passStream relays events as they arrive.
func (x *exchange) passStream(r conn.Responded) (outcome, placing.Outcome) {
	j := x.response.job
	events := x.eventReader(r)
	defer events.release()
	resumed, before := x.response.started.Load(), x.response.events
	for {
		event, err := x.nextEvent(events)
		if errors.Is(err, io.EOF) && x.response.events == before && (resumed || endsWithConnection(r.Response)) {
			// A target that has nothing to add can't be told from one that failed.
			x.broken = endsWithConnection(r.Response)
			r.Exchange.Abort()
			return lost{reason: "the stream ended before its first event"}, placing.Failed
		}
		if errors.Is(err, io.EOF) {
			r.Exchange.Finish()
			x.response.close(r.Response)
			x.markWhole()
			x.handler.finish(j, r.Response.StatusCode, outcomeStreamed)
			return delivered{}, placing.Served
		}
		if err != nil {
			x.fail(err)
			r.Exchange.Abort()
			reason := "the stream broke off: " + err.Error()
			if x.replaced.Load() {
				reason = x.standby.reason()
			}
			return lost{reason: reason}, placing.Failed
		}
		if x.standby.hold() {
			x.broken = true
			r.Exchange.Abort()
			return lost{reason: x.standby.reason()}, placing.Failed
		}
		if !x.pin() {
			r.Exchange.Abort()
			return lost{reason: "the stream began at another version"}, placing.Inconclusive
		}
		x.handler.opts.Placer.RecordActivity(x.choice, time.Now())
		x.markFirst()
		if event.weights > 0 {
			x.handler.opts.Placer.ObserveWeights(x.choice.Target, j.info.Model, event.weights, time.Now())
		}
		if err := x.response.writeEvent(r.Response, event, resumed); err != nil {
			r.Exchange.Abort()
			x.cancel()
			return stopped{err: err}, placing.Inconclusive
		}
		x.standby.release()
		if x.requestCtx.Err() != nil {
			r.Exchange.Abort()
			return stopped{err: context.Cause(x.requestCtx)}, placing.Inconclusive
		}
	}
}
