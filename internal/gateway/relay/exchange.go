package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/platform"
)

// maxResponseBytes bounds a plain response, which is buffered until it is
// complete.
const maxAnswerBytes = 4 << 20

// An exchange is one send and its response.
type exchange struct {
	handler *Handler
	answer  *answer
	choice  placing.Choice
	sent    time.Time
	cancel  context.CancelFunc
	// gotFirst reports whether the first event or the whole response has
	// arrived.
	first bool
	// timedOut reports whether the send was aborted because the target sent
	// nothing.
	silent atomic.Bool
	// silenceTimeout is how long the target may send nothing before the send is
	// aborted.
	silence time.Duration
	timer   *time.Timer
	stop    func()
}

// do sends the request. The returned function stops the silence timer.
func (h *Handler) do(ctx context.Context, x *exchange) (conn.Result, func()) {
	j := x.answer.job
	x.watch(j.patience())
	stop := func() {
		if x.timer != nil {
			x.timer.Stop()
		}
	}
	s := conn.Send{
		Method: j.request.Method,
		Path:   j.request.RequestURI,
		Host:   j.request.Host,
		Header: platform.ForwardHeader(j.request.Header, j.instruction(x.choice, x.answer.resumeAfter(j))),
		Body:   j.body,
		Mine: func(status int, header http.Header) bool {
			id := platform.ReadResponseInfo(status, header).ID
			return id == j.declared.ID || id == "" && status >= http.StatusBadRequest
		},
	}
	return h.opts.Pool.Do(ctx, x.choice.Target.Address, s, !j.route.Repeatable()), stop
}

// silenceTimeout returns how long a target may send nothing while another one may
// still be tried, or 0 for no limit but the request's deadline.
func (j *job) patience() time.Duration {
	if !j.route.Repeatable() || j.ran+1 >= j.route.MaxAttempts {
		return 0
	}
	if j.engine {
		return max(streamSilence, aimSilences*j.route.LatencyGoal)
	}
	return time.Duration(firstPart * float64(time.Until(j.until)))
}

// startTimer aborts the send after a period without data from the target.
func (x *exchange) watch(silence time.Duration) {
	if silence <= 0 {
		return
	}
	x.silence = silence
	x.timer = time.AfterFunc(silence, x.expire)
}

// expire aborts the send unless the target has recently responded to other
// requests.
func (x *exchange) expire() {
	if x.handler.opts.Placer.Answers(x.choice, aliveTime, time.Now()) {
		x.timer.Reset(aliveTime)
		return
	}
	x.silent.Store(true)
	x.cancel()
}

// busyTargetTimeout is how recently a silent target must have responded to any
// request for the send to continue.
const aliveTime = 700 * time.Millisecond

// resetTimer restarts the silence timer.
func (x *exchange) heard() {
	if x.timer != nil {
		x.timer.Reset(x.silence)
	}
}

// pass relays the target's response to the caller.
func (x *exchange) pass(ctx context.Context, r conn.Answered) (outcome, placing.End) {
	j := x.answer.job
	receipt := platform.ReadResponseInfo(r.Response.StatusCode, r.Response.Header)
	if x.handler.opts.Placer.Saw(x.choice.Target, j.declared.Model, receipt.WeightsVersion, time.Now()) {
		j.weights = receipt.WeightsVersion
	}
	if receipt.NotRun {
		return x.rejected(r, receipt)
	}
	j.ran++
	success := r.Response.StatusCode < http.StatusMultipleChoices
	if receipt.Encoded || success && !receipt.Sealed {
		r.Exchange.Abort()
		return lost{why: "the answer is not the target's"}, placing.Failed
	}
	if success && isStream(r.Response) {
		return x.passStream(ctx, r)
	}
	return x.passPlain(r)
}

// rejected handles a response that reports that the request was not run.
func (x *exchange) rejected(r conn.Answered, receipt platform.ResponseInfo) (outcome, placing.End) {
	if _, err := r.Exchange.ReadBody(maxAnswerBytes); err != nil {
		r.Exchange.Abort()
	} else {
		r.Exchange.Finish()
	}
	if r.Response.StatusCode == http.StatusMisdirectedRequest {
		x.handler.opts.Placer.Refused(x.choice, x.answer.job.declared.Model, time.Now())
		return again{why: "misdirected at " + receipt.Target, arrived: true}, placing.Dropped
	}
	return again{why: "rejected with " + r.Response.Status, arrived: true}, placing.Rejected
}

// passPlain buffers a response until it is complete.
func (x *exchange) passPlain(r conn.Answered) (outcome, placing.End) {
	j := x.answer.job
	body, err := r.Exchange.ReadBody(maxAnswerBytes)
	if err != nil {
		r.Exchange.Abort()
		return lost{why: "the answer broke off: " + err.Error()}, placing.Failed
	}
	r.Exchange.Finish()
	x.mark()
	end := placing.Served
	if r.Response.StatusCode >= http.StatusInternalServerError {
		end = placing.Failed
		if j.route.Repeatable() && j.ran < j.route.MaxAttempts && !x.answer.begun && x.handler.worthRepeating(j) {
			return lost{why: "failed with " + r.Response.Status}, end
		}
	}
	if x.answer.begun {
		return lost{why: "no stream but " + r.Response.Status}, end
	}
	x.answer.whole(r.Response, body)
	x.handler.finish(j, r.Response.StatusCode, answered)
	return delivered{}, end
}

// worthRepeating reports whether there is time for another run.
func (h *Handler) worthRepeating(j *job) bool {
	return time.Until(j.until) > max(2*leastLeft, time.Since(j.start)/2)
}

// markFirst records the time of the first event or the whole response.
func (x *exchange) mark() {
	if x.first {
		return
	}
	x.first = true
	j := x.answer.job
	if j.first == 0 {
		j.first = time.Since(j.start)
	}
	x.handler.opts.Placer.FirstToken(x.choice, time.Since(x.sent), time.Now())
}

// passStream relays events as they arrive.
func (x *exchange) passStream(ctx context.Context, r conn.Answered) (outcome, placing.End) {
	j := x.answer.job
	events := newEvents(r.Response.Body)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			r.Exchange.Finish()
			x.answer.close(r.Response)
			x.mark()
			x.handler.finish(j, r.Response.StatusCode, streamed)
			return delivered{}, placing.Served
		}
		if err != nil {
			r.Exchange.Abort()
			if x.silent.Load() {
				return lost{why: "the stream fell silent"}, placing.Silenced
			}
			return lost{why: "the stream broke off: " + err.Error()}, placing.Failed
		}
		x.heard()
		x.handler.opts.Placer.Heard(x.choice, time.Now())
		x.mark()
		if event.weights > 0 {
			x.handler.opts.Placer.Saw(x.choice.Target, j.declared.Model, event.weights, time.Now())
		}
		if err := x.answer.event(r.Response, event); err != nil {
			r.Exchange.Abort()
			x.cancel()
			return stopped{err: err}, placing.Dropped
		}
		if ctx.Err() != nil {
			r.Exchange.Abort()
			return stopped{err: context.Cause(ctx)}, placing.Dropped
		}
	}
}
