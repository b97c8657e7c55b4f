package vm

import (
	"context"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// A message is an input of the task's goroutine: probeReceived, replyReceived,
// probeFailed, helpersDone or listRead.
type message interface{ message() }

// A probeReceived is a probe from another VM.
type probeReceived struct {
	from  string
	probe Probe
	reply chan<- ProbeReply
}

// A replyReceived is the reply to a probe of this VM.
type replyReceived struct {
	to    Member
	sent  time.Time
	reply ProbeReply
}

// A probeFailed is a probe of this VM that failed.
type probeFailed struct {
	to   Member
	sent time.Time
	err  error
}

// A helpersDone holds the results of the indirect probes of one member.
type helpersDone struct {
	id      string
	results []helperResult
	sent    time.Time
}

// A listRead is a new version of the platform's list.
type listRead struct{ records []store.VMRecord }

func (probeReceived) message() {}
func (replyReceived) message() {}
func (probeFailed) message()   {}
func (helpersDone) message()   {}
func (listRead) message()      {}

// A runner performs effects in goroutines of its own.
type runner struct {
	*Task
	ctx context.Context
	wg  *sync.WaitGroup
}

func (r *runner) run(effects []effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case sendProbe:
			r.wg.Go(func() { r.probe(e) })
		case sendIndirect:
			r.wg.Go(func() { r.probeIndirect(e) })
		}
	}
}

// send sends a message to the task's goroutine.
func (r *runner) send(msg message) {
	select {
	case r.inbox <- msg:
	case <-r.ctx.Done():
	}
}

func (r *runner) probe(e sendProbe) {
	sent := r.opts.Clock.Now()
	e.probe.Report = r.report()
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	var reply ProbeReply
	to := peer.Destination{VM: e.to.ID, Address: e.to.Peer}
	if err := r.opts.Peers.Call(ctx, to, peer.CallProbe, e.probe, &reply); err != nil {
		r.send(probeFailed{to: e.to, sent: sent, err: err})
		return
	}
	r.deliverReport(e.to.ID, reply.Report, sent)
	r.send(replyReceived{to: e.to, sent: sent, reply: reply})
}

// probeIndirect calls the helpers concurrently.
func (r *runner) probeIndirect(e sendIndirect) {
	sent := r.opts.Clock.Now()
	ctx, cancel := context.WithTimeout(r.ctx, indirectTimeout)
	defer cancel()
	results := make([]helperResult, len(e.helpers))
	var wg sync.WaitGroup
	for i, h := range e.helpers {
		wg.Go(func() {
			var reply IndirectProbeReply
			to := peer.Destination{VM: h.ID, Address: h.Peer}
			err := r.opts.Peers.Call(ctx, to, peer.CallIndirectProbe, IndirectProbe{VM: e.member.ID}, &reply)
			results[i] = helperResult{helper: h.ID, responded: err == nil, reached: reply.Reached}
		})
	}
	wg.Wait()
	r.send(helpersDone{id: e.member.ID, results: results, sent: sent})
}

// pollList reads the platform's list periodically.
func (r *runner) pollList() {
	r.wg.Go(func() {
		for {
			timer := time.NewTimer(r.readListOnce())
			select {
			case <-r.ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
		}
	})
}

// readListOnce reads the platform's list and returns the time until the next
// read.
func (r *runner) readListOnce() time.Duration {
	ctx, cancel := context.WithTimeout(r.ctx, listTimeout)
	defer cancel()
	records, err := r.opts.Directory.VMs(ctx)
	if err != nil {
		_ = r.opts.Log.Log("msg", "VM list read failed", "err", err)
		return listRetry
	}
	r.send(listRead{records: records})
	return listPeriod
}
