package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// The bounds of the rule, as on the sheet of the first deployment, and the doses.
const (
	leaseTurns = 3000 * time.Millisecond
	thaw       = 300 * time.Millisecond
	// turnedAway is how long the store turns the first machine away, and turnedAwayShortly the
	// second one.
	turnedAway        = 6 * time.Second
	turnedAwayShortly = 100 * time.Millisecond
	// turnAfter is how long after its first order the first machine is turned away.
	turnAfter = 1500 * time.Millisecond
	// betweenVersions is the shortest time between two versions.
	betweenVersions = 3 * time.Second
	// roundTime is the time of a round. All disruptions of a round are over by then.
	roundTime = 17 * time.Second
	rounds    = 5
)

// turns plays some rounds. New weights are named in each, and the store turns the machine away that
// gives the orders, before it has given the last one. Newer weights are named then. The answer to
// the write with which the next machine takes the lease is lost, and the store turns that machine
// away for a moment.
func turns(w *world, trouble bool) bool {
	defer w.store.setLoses(nil)
	w.addVMs(6)
	w.configure()
	for i := range 8 {
		w.addRunner(fmt.Sprintf("i-0%d", i+1), "llm", model).gap = 100 * time.Millisecond
	}
	for _, id := range []string{"i-11", "i-12"} {
		w.addRunner(id, "app", "")
	}
	w.startAll()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.traffic(ctx, 30)
	time.Sleep(4 * time.Second)
	w.name(2)
	time.Sleep(9 * time.Second)
	for version := int64(3); version <= 3+2*(rounds-1); version += 2 {
		began := time.Now()
		ordered := w.awaitOrder(version)
		w.name(version)
		var holder string
		select {
		case holder = <-ordered:
		case <-time.After(roundTime / 2):
			unable("no order for version %d", version)
		}
		if trouble {
			time.Sleep(turnAfter)
			w.turnAway(holder, busy, turnedAway)
			w.loseTakeover()
		}
		time.Sleep(betweenVersions - time.Since(began))
		w.name(version + 1)
		time.Sleep(roundTime - time.Since(began))
	}
	stop()
	return w.noTurns()
}

// name names new weights.
func (w *world) name(version int64) {
	w.store.put("versions", model, map[string]any{"model": model, "version": version})
	w.logf("version %d is named", version)
}

func (s *platformStore) setLoses(f func(call) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses = f
}

// awaitOrder returns a channel that gets the holder that gives the first order for a version.
func (w *world) awaitOrder(version int64) <-chan string {
	holder := make(chan string, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onOrder = func(o order) {
		if o.version != version {
			return
		}
		select {
		case holder <- o.holder:
		default:
		}
	}
	return holder
}

// loseTakeover loses the answer to the next write with which a machine takes the lease, and turns
// that machine away for a moment.
func (w *world) loseTakeover() {
	var once sync.Once
	w.store.setLoses(func(c call) (isLost bool) {
		var lease struct {
			Holder string `json:"holder"`
		}
		if c.kind != "lease" || json.Unmarshal(c.spec, &lease) != nil || lease.Holder != c.machine {
			return false
		}
		once.Do(func() {
			isLost = true
			w.logf("the answer to %s is lost: it has written the lease", c.machine)
			w.turnAway(c.machine, resets, turnedAwayShortly)
		})
		return isLost
	})
}

// turnAway makes the store turn a machine away for some time.
func (w *world) turnAway(machine string, how access, d time.Duration) {
	w.logf("the store turns %s away for %s", machine, d)
	w.store.setAccess(machine, how)
	time.AfterFunc(d, func() {
		w.store.setAccess(machine, serves)
		w.mu.Lock()
		w.servedAgain[machine] = append(w.servedAgain[machine], time.Now())
		w.mu.Unlock()
		w.logf("the store serves %s again", machine)
	})
}

// noTurns checks the orders to each runner: no two holders with one token, no lower token after a
// higher one, and no turns within leaseTurns. Orders that arrive within thaw after the store
// serves their sender again are left out, although no link was cut.
func (w *world) noTurns() bool {
	w.mu.Lock()
	orders := w.orders
	w.mu.Unlock()
	held := true
	last := map[string]order{}
	holders := map[int64]string{}
	for _, o := range orders {
		if h, ok := holders[o.token]; ok && h != o.holder {
			w.logf("BROKEN: %s and %s have given orders with token %d", h, o.holder, o.token)
			held = false
		}
		holders[o.token] = o.holder
		before, ok := last[o.runner]
		last[o.runner] = o
		if !ok || before.holder == o.holder || w.wasJustServed(o) {
			continue
		}
		gap := o.at.Sub(before.at)
		w.logf("runner %s: an order of %s (token %d) follows one of %s (token %d) after %.3f s", o.runner, o.holder, o.token, before.holder, before.token, gap.Seconds())
		if gap < leaseTurns || o.token < before.token {
			w.logf("BROKEN: holders take turns within %s", leaseTurns)
			held = false
		}
	}
	return held
}

// wasJustServed reports whether an order arrived within thaw after the store began to serve its
// sender again.
func (w *world) wasJustServed(o order) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.servedAgain[o.holder] {
		if d := o.at.Sub(at); d >= 0 && d < thaw {
			return true
		}
	}
	return false
}
