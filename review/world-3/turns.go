package main

import (
	"context"
	"encoding/json"
	"time"
)

// The bounds of the rule, as on the sheet of the first deployment, and the doses.
const (
	leaseTurns = 3000 * time.Millisecond
	thaw       = 300 * time.Millisecond
	// lateOrders is the share of the orders that workers leave unanswered, and lateTime how long.
	lateOrders = 0.5
	lateTime   = 7 * time.Second
	// turnedAway is how long the store turns the first machine away, and turnedAwayShortly the
	// second one.
	turnedAway        = 6 * time.Second
	turnedAwayShortly = 500 * time.Millisecond
	// roundTime is the time between two versions. All disruptions of a round are over by then.
	roundTime = 15 * time.Second
)

// turns names new weights twice. Each time the store turns the machine away that gives the
// orders, and then, for half a second, the machine that takes over: the answer to the write with
// which that one takes the lease is lost.
func turns(w *world, trouble bool) bool {
	defer w.store.setLoses(nil)
	w.addVMs(6)
	w.configure()
	for _, id := range []string{"i-01", "i-02", "i-03", "i-04", "i-05", "i-06"} {
		w.addRunner(id, "llm", model)
	}
	for _, id := range []string{"i-11", "i-12"} {
		w.addRunner(id, "app", "")
	}
	w.startAll()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.traffic(ctx, 6)
	time.Sleep(4 * time.Second)
	w.name(2)
	time.Sleep(9 * time.Second)
	for version := int64(3); version <= 4; version++ {
		if trouble {
			w.turnAwayGiver(version)
		}
		w.name(version)
		time.Sleep(roundTime)
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

// turnAwayGiver prepares the disruption. It begins with the first order for a version.
func (w *world) turnAwayGiver(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare = lateOrders
	time.AfterFunc(lateTime, func() {
		w.mu.Lock()
		w.lateShare = 0
		w.mu.Unlock()
		w.logf("orders are answered again")
	})
	w.onOrder = func(o order) {
		if o.version != version {
			return
		}
		w.mu.Lock()
		w.onOrder = nil
		w.mu.Unlock()
		w.turnAway(o.holder, busy, turnedAway)
		taken := false
		w.store.setLoses(func(c call) bool {
			var lease struct {
				Holder string `json:"holder"`
			}
			if c.kind != "lease" || json.Unmarshal(c.spec, &lease) != nil || lease.Holder != c.machine || taken {
				return false
			}
			taken = true
			w.logf("the answer to %s is lost: it has written the lease", c.machine)
			w.turnAway(c.machine, resets, turnedAwayShortly)
			return true
		})
	}
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
