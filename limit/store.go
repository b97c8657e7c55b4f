package limit

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/platform"
)

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
		r := SlotRecord{Slot: slot, Version: o.Version}
		if !ok || json.Unmarshal(o.Value, &r.Lease) != nil {
			t.logSlot("object is no slot: "+o.Key, e.Shard, slot, nil)
			continue
		}
		listed.Slots = append(listed.Slots, r)
	}
	_ = t.post(ctx, listed)
}

// takeSlot writes a slot in this VM's name and posts whether it is held.
func (t *Task) takeSlot(ctx context.Context, e TakeSlot) {
	r, err := writeSlot(ctx, t.o.Store, e.Slot, e.Lease, e.Expect)
	held := err == nil && r.Version > 0
	t.logSlot("slot taken", e.Shard, e.Slot, err)
	_ = t.post(ctx, SlotWritten{Shard: e.Shard, Slot: e.Slot, Record: r, Held: held})
}

// giveSlot writes a slot as free.
func (t *Task) giveSlot(ctx context.Context, e GiveSlot) {
	r, err := writeSlot(ctx, t.o.Store, e.Slot, e.Lease, e.Expect)
	t.logSlot("slot given back", e.Shard, e.Slot, err)
	_ = t.post(ctx, SlotWritten{Shard: e.Shard, Slot: e.Slot, Record: r})
}

var errNotWritten = errors.New("another write came first")

// writeSlot makes a conditional update of a slot and returns the record if the
// write has provably taken effect. A lost answer is resolved by the nonce.
func writeSlot(ctx context.Context, store platform.Store, slot int, l lease.Lease, expect int64) (SlotRecord, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return SlotRecord{}, err
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch r := store.Put(call, l.Duty, value, expect).(type) {
	case platform.Done:
		return SlotRecord{Slot: slot, Lease: l, Version: r.Version}, nil
	case platform.NotSent:
		return SlotRecord{}, r.Err
	case platform.Unknown:
		return readBack(ctx, store, slot, l)
	default:
		return SlotRecord{}, errNotWritten
	}
}

// readBack looks for the nonce of a write whose answer was lost.
func readBack(ctx context.Context, store platform.Store, slot int, l lease.Lease) (SlotRecord, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := store.Get(call, l.Duty)
	if err != nil {
		return SlotRecord{}, err
	}
	var found lease.Lease
	if err := json.Unmarshal(o.Value, &found); err != nil || found.Nonce != l.Nonce {
		return SlotRecord{}, errNotWritten
	}
	return SlotRecord{Slot: slot, Lease: found, Version: o.Version}, nil
}
