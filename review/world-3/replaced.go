package main

import (
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// recovery is recoveryS of the sheet: requests that are sent later than that after the machines are
// back are judged.
const recovery = 12 * time.Second

// replaced loses all machines at the same moment, for good. New ones start at other addresses a
// second later.
func replaced(w *world, trouble bool) bool {
	const machines = 4
	w.addVMs(machines)
	w.configure()
	w.addRunner("i-11", "app", "")
	w.addRunner("i-12", "app", "")
	w.startAll()
	time.Sleep(12 * time.Second)
	before := w.share(w.vms, 4*time.Second)
	serving := w.vms
	if trouble {
		for _, v := range w.vms {
			_ = v.cmd.Process.Kill()
		}
		w.logf("all machines are lost")
		time.Sleep(time.Second)
		w.addVMs(machines)
		serving = w.vms[machines:]
		w.startThese(serving)
	}
	back := time.Now()
	time.Sleep(recovery)
	after := w.share(serving, 25*time.Second)
	w.logf("served: %.3f before, %.3f of those sent later than %s after the machines were back, until %s", before, after, recovery, time.Since(back).Round(time.Second))
	return after >= 0.25 || before < 0.25
}

// share sends ten requests a second for a time and returns the share that is served, each request
// with one further try after a refusal.
func (w *world) share(vms []*vm, d time.Duration) float64 {
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		sent++
		wg.Go(func() {
			for range 2 {
				status, whole := w.ask(vms[mathrand.IntN(len(vms))], "/read/2f", 600*time.Millisecond)
				if whole && strings.HasPrefix(status, "200") {
					mu.Lock()
					served++
					mu.Unlock()
					return
				}
				if status != "" && !strings.HasPrefix(status, "429") && !strings.HasPrefix(status, "503") {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	http.DefaultClient.CloseIdleConnections()
	return float64(served) / float64(max(sent, 1))
}
