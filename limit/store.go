package limit

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
)

// agreeOnLayout posts the layout of the fleet, which is that of this VM if none
// is stored yet. It retries until it succeeds or ctx ends.
func (t *Task) agreeOnLayout(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	for ctx.Err() == nil {
		l, err := t.loadLayout(ctx)
		if err == nil {
			if l != t.o.Layout {
				_ = level.Error(t.log).Log("msg", "stored layout differs from this VM's settings",
					"shards", l.Shards, "slots", l.Slots)
			}
			_ = t.post(ctx, LayoutAgreed{Layout: l})
			return
		}
		_ = level.Warn(t.log).Log("msg", "reading layout failed", "err", err)
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// loadLayout returns the stored layout, and stores that of this VM if there is
// none.
func (t *Task) loadLayout(ctx context.Context) (Layout, error) {
	call, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	value, err := json.Marshal(t.o.Layout)
	if err != nil {
		return Layout{}, eris.Wrap(err, "encode layout")
	}
	o, err := t.o.Store.Get(call, layoutKey)
	if errors.Is(err, store.ErrNotFound) {
		t.o.Store.Put(call, layoutKey, value, store.MustNotExist)
		o, err = t.o.Store.Get(call, layoutKey)
	}
	if err != nil {
		return Layout{}, eris.Wrap(err, "read layout")
	}
	var l Layout
	if err := json.Unmarshal(o.Value, &l); err != nil || !l.Valid() {
		return Layout{}, eris.Errorf("object %s is not a valid layout", layoutKey)
	}
	return l, nil
}

// listSlots reads the slots of a shard and posts them.
func (t *Task) listSlots(ctx context.Context, e ListSlots) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, err := t.o.Store.List(call, shardPrefix(e.Shard))
	if err != nil {
		t.logSlot("reading slots failed", e.Shard, -1, err)
		_ = t.post(ctx, SlotsListed{Shard: e.Shard, Failed: true})
		return
	}
	listed := SlotsListed{Shard: e.Shard}
	for _, o := range objects {
		slot, ok := parseSlotKey(e.Shard, o.Key)
		l, err := lease.Decode(o.Value)
		if !ok || err != nil {
			t.logSlot("object is not a valid slot: "+o.Key, e.Shard, slot, err)
			continue
		}
		r := SlotRecord{Slot: slot, Record: lease.Record{Lease: l, Version: o.Version}}
		listed.Slots = append(listed.Slots, r)
	}
	_ = t.post(ctx, listed)
}

// acquireSlot acquires a slot and posts the result.
func (t *Task) acquireSlot(ctx context.Context, e AcquireSlot) {
	call, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	key := slotKey(e.Shard, e.Slot)
	result := lease.Acquire(call, t.o.Store, lease.Request{
		Key: key, Name: key,
		Self:       lease.Holder{ID: t.o.Self.ID, Incarnation: t.o.Self.Incarnation},
		HolderGone: func(r lease.Record) bool { return e.Ended.ID != "" && r.Lease.HeldBy(e.Ended) },
	})
	t.postWritten(ctx, e.Shard, e.Slot, result)
}

// releaseSlot releases a slot and posts the result.
func (t *Task) releaseSlot(ctx context.Context, e ReleaseSlot) {
	call, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	result := lease.Release(call, t.o.Store, slotKey(e.Shard, e.Slot), e.Record, e.Data)
	t.postWritten(ctx, e.Shard, e.Slot, result)
}

// postWritten logs and posts the result of an acquisition or a release.
func (t *Task) postWritten(ctx context.Context, shard, slot int, result lease.Result) {
	w := SlotWritten{Shard: shard, Slot: slot, Record: SlotRecord{Slot: slot}}
	switch r := result.(type) {
	case lease.Held:
		w.Record.Record, w.Held = r.Record, true
		t.logSlot("slot acquired", shard, slot, nil)
	case lease.Taken:
		w.Record.Record = r.Record
		t.logSlot("slot held by another VM", shard, slot, nil)
	case lease.Free:
		w.Record.Record = r.Record
		t.logSlot("slot released", shard, slot, nil)
	case lease.NotSent:
		t.logSlot("slot write not sent", shard, slot, r.Err)
	case lease.Unknown:
		t.logSlot("slot write outcome unknown", shard, slot, r.Err)
	}
	_ = t.post(ctx, w)
}
