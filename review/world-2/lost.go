package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// recoveryS is the bound of the rule RECOVER on the small sites.
const recoveryS = 12 * time.Second

// lost restarts the VMs in turn, shortly after one of them was lost for good if trouble is
// set. Then all are killed and started again. It returns whether the rule RECOVER was kept.
func lost(w *world, trouble bool) (kept, ran bool) {
	w.configure(1, nil)
	w.store.put("versions", "m", map[string]any{"model": "m", "version": 1})
	for i := range 3 {
		w.runner("llm", fmt.Sprintf("engine-%d", i), true)
	}
	for i := range 2 {
		w.runner("app", fmt.Sprintf("service-%d", i), false)
	}
	for i := range 4 {
		w.addVM(fmt.Sprintf("front-%d", i)).start()
	}
	defer w.stop()
	if !w.awaitReady() {
		return false, false
	}
	var mu sync.Mutex
	phase := "before"
	served, asked := map[string]int{}, map[string]int{}
	stop, done := make(chan struct{}), make(chan struct{})
	setPhase := func(p string) {
		mu.Lock()
		phase = p
		mu.Unlock()
		w.note("phase %s", p)
	}
	go func() {
		defer close(done)
		w.load(40, stop, func() string { mu.Lock(); defer mu.Unlock(); return phase }, func(p string, q call, a answer) {
			w.note("%s %s %s status=%d err=%v", p, a.id, q.path, a.status, a.err)
			mu.Lock()
			defer mu.Unlock()
			asked[p]++
			if a.status == 200 && a.complete {
				served[p]++
			}
		})
	}()
	time.Sleep(6 * time.Second)
	gone := w.vms[3]
	if trouble {
		gone.down.Store(true)
		gone.signal(syscall.SIGKILL)
		<-gone.exited
	}
	time.Sleep(time.Second)
	for _, v := range w.vms[:3] {
		v.down.Store(true)
		v.signal(syscall.SIGTERM)
		<-v.exited
		v.start()
		for end := time.Now().Add(10 * time.Second); !v.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return false, false
			}
		}
	}
	time.Sleep(4 * time.Second)
	setPhase("fault")
	for _, v := range w.vms {
		v.down.Store(true)
		v.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	for _, v := range w.vms {
		if v != gone || !trouble {
			<-v.exited
			v.start()
		}
	}
	time.Sleep(recoveryS)
	setPhase("after")
	time.Sleep(12 * time.Second)
	close(stop)
	<-done
	for _, p := range []string{"before", "fault", "after"} {
		w.note("result %s: %d of %d requests served", p, served[p], asked[p])
		fmt.Printf("%s: %d of %d requests served\n", p, served[p], asked[p])
	}
	if 4*served["before"] < asked["before"] || asked["after"] == 0 {
		return false, false
	}
	return 4*served["after"] >= asked["after"], true
}
