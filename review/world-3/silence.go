package main

import (
	"syscall"
	"time"
)

// silencePause is for how long a preempted stream pauses. Clients abandon a stream after a gap of
// 3.2 s on this route: eight times the pause that is still on time.
const silencePause = 1800 * time.Millisecond

// silence stops each machine in turn as planned while it passes a stream on. The stream is preempted
// at its runner, so that nothing comes for a while, and goes on then.
func silence(w *world, trouble bool) bool {
	w.addVMs(3)
	w.configure()
	for _, id := range []string{"i-01", "i-02", "i-03"} {
		w.addRunner(id, "llm", model).pause = silencePause
	}
	w.addRunner("i-11", "app", "")
	w.startAll()
	time.Sleep(5 * time.Second)
	held := true
	for _, v := range w.vms {
		if trouble {
			w.preemptNext()
		}
		type answer struct {
			status string
			whole  bool
		}
		answered := make(chan answer, 1)
		go func() {
			status, whole := w.ask(v, "/ask/2f", 12*time.Second)
			answered <- answer{status, whole}
		}()
		time.Sleep(100 * time.Millisecond)
		w.logf("SIGTERM machine=%s", v.name)
		if err := v.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			unable("SIGTERM: %v", err)
		}
		stopped := time.Now()
		if a := <-answered; a.status != "200 OK" || !a.whole {
			w.logf("BROKEN: %s has read a request and passed it on, and the connection ends without a complete answer %.3f s after SIGTERM",
				v.name, time.Since(stopped).Seconds())
			held = false
		}
		w.awaitEnd(v)
		w.logf("ended machine=%s after=%.3f", v.name, time.Since(stopped).Seconds())
		w.start(v)
		w.awaitReady(v)
		time.Sleep(4 * time.Second)
	}
	return held
}

// preemptNext makes the next stream be preempted, at whichever runner it begins.
func (w *world) preemptNext() {
	for _, r := range w.runners {
		r.mu.Lock()
		r.preempts = 1
		r.mu.Unlock()
	}
}
