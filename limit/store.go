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

// agree reads the layout of the fleet, or writes this VM's as the first, and
// posts it. It tries until it succeeds.
func (t *Task) agree(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	for ctx.Err() == nil {
		l, err := t.layout(ctx)
		if err == nil {
			if l != t.o.Layout {
				_ = level.Error(t.log).Log("msg", "the fleet uses another layout than this VM's settings",
					"shards", l.Shards, "slots", l.Slots)
			}
			_ = t.post(ctx, Agreed{Layout: l})
			return
		}
		_ = level.Warn(t.log).Log("msg", "layout not read", "err", err)
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// layout returns the layout in the store, which is written if there is none.
func (t *Task) layout(ctx context.Context) (Layout, error) {
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
		return Layout{}, eris.Errorf("object %s is no layout", layoutKey)
	}
	return l, nil
}

// listShard reads the slots of a shard and posts them.
func (t *Task) listShard(ctx context.Context, e ListShard) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, err := t.o.Store.List(call, shardPrefix(e.Shard))
	if err != nil {
		t.logSlot("slots not read", e.Shard, -1, err)
		_ = t.post(ctx, Listed{Shard: e.Shard, Failed: true})
		return
	}
	listed := Listed{Shard: e.Shard}
	for _, o := range objects {
		slot, ok := slotOfKey(e.Shard, o.Key)
		l, err := lease.Decode(o.Value)
		if !ok || err != nil {
			t.logSlot("object is no slot: "+o.Key, e.Shard, slot, err)
			continue
		}
		r := SlotRecord{Slot: slot, Record: lease.Record{Lease: l, Version: o.Version}}
		listed.Slots = append(listed.Slots, r)
	}
	_ = t.post(ctx, listed)
}

// takeSlot acquires a slot and posts whether it is held.
func (t *Task) takeSlot(ctx context.Context, e TakeSlot) {
	call, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	key := slotKey(e.Shard, e.Slot)
	result := lease.Acquire(call, t.o.Store, lease.Request{
		Key: key, Name: key,
		Self:       lease.Holder{ID: t.o.Self.ID, Incarnation: t.o.Self.Incarnation},
		HolderGone: func(r lease.Record) bool { return e.Ended.ID != "" && r.Lease.HeldBy(e.Ended) },
	})
	t.written(ctx, e.Shard, e.Slot, result)
}

// giveSlot releases a slot.
func (t *Task) giveSlot(ctx context.Context, e GiveSlot) {
	call, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	result := lease.Release(call, t.o.Store, slotKey(e.Shard, e.Slot), e.Record, e.Data)
	t.written(ctx, e.Shard, e.Slot, result)
}

// written posts the outcome of an acquisition or a release.
func (t *Task) written(ctx context.Context, shard, slot int, result lease.Result) {
	w := SlotWritten{Shard: shard, Slot: slot, Record: SlotRecord{Slot: slot}}
	switch r := result.(type) {
	case lease.Held:
		w.Record.Record, w.Held = r.Record, true
		t.logSlot("slot taken", shard, slot, nil)
	case lease.Taken:
		w.Record.Record = r.Record
		t.logSlot("slot taken by another VM", shard, slot, nil)
	case lease.Free:
		w.Record.Record = r.Record
		t.logSlot("slot given back", shard, slot, nil)
	case lease.NotSent:
		t.logSlot("slot not written", shard, slot, r.Err)
	case lease.Unknown:
		t.logSlot("slot perhaps written", shard, slot, r.Err)
	}
	_ = t.post(ctx, w)
}
