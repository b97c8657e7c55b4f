package vm

import (
	"context"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// A message is an input of the task's goroutine: received, replied, failed,
// helped or listRead.
type message interface{ message() }

// received is a probe of another VM.
type received struct {
	from  string
	probe Probe
	reply chan<- ProbeReply
}

// replied is the answer to a probe of this VM.
type replied struct {
	to    Member
	sent  time.Time
	reply ProbeReply
}

// failed is a probe without an answer.
type failed struct {
	to   Member
	sent time.Time
	err  error
}

// helped holds what third VMs say of a target.
type helped struct {
	target string
	list   []testimony
	sent   time.Time
}

// listRead is a new list of the platform.
type listRead struct{ records []store.VMRecord }

func (received) message() {}
func (replied) message()  {}
func (failed) message()   {}
func (helped) message()   {}
func (listRead) message() {}

// A runner carries out effects beside the task's goroutine.
type runner struct {
	*Task
	ctx  context.Context
	work *sync.WaitGroup
}

func (r *runner) do(effects []effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case sendProbe:
			r.work.Go(func() { r.probe(e) })
		case sendIndirect:
			r.work.Go(func() { r.ask(e) })
		}
	}
}

// send passes a message to the task's goroutine.
func (r *runner) send(msg message) {
	select {
	case r.inbox <- msg:
	case <-r.ctx.Done():
	}
}

func (r *runner) probe(e sendProbe) {
	sent := r.opts.Clock.Now()
	e.probe.Report = r.word()
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	var reply ProbeReply
	to := peer.Destination{VM: e.to.ID, Address: e.to.Peer}
	if err := r.opts.Peers.Call(ctx, to, peer.CallProbe, e.probe, &reply); err != nil {
		r.send(failed{to: e.to, sent: sent, err: err})
		return
	}
	r.heard(e.to.ID, reply.Report, sent)
	r.send(replied{to: e.to, sent: sent, reply: reply})
}

// ask asks the helpers side by side.
func (r *runner) ask(e sendIndirect) {
	sent := r.opts.Clock.Now()
	ctx, cancel := context.WithTimeout(r.ctx, indirectTimeout)
	defer cancel()
	list := make([]testimony, len(e.helpers))
	var calls sync.WaitGroup
	for i, h := range e.helpers {
		calls.Go(func() {
			var reply IndirectProbeReply
			to := peer.Destination{VM: h.ID, Address: h.Peer}
			err := r.opts.Peers.Call(ctx, to, peer.CallIndirectProbe, IndirectProbe{VM: e.target.ID}, &reply)
			list[i] = testimony{helper: h.ID, heard: err == nil, reached: reply.Reached}
		})
	}
	calls.Wait()
	r.send(helped{target: e.target.ID, list: list, sent: sent})
}

// readList reads the platform's list again and again.
func (r *runner) readList() {
	r.work.Go(func() {
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

// readListOnce returns the time until the next reading.
func (r *runner) readListOnce() time.Duration {
	ctx, cancel := context.WithTimeout(r.ctx, listTimeout)
	defer cancel()
	records, err := r.opts.Directory.VMs(ctx)
	if err != nil {
		_ = r.opts.Log.Log("msg", "list of VMs not read", "err", err)
		return listRetry
	}
	r.send(listRead{records: records})
	return listPeriod
}
