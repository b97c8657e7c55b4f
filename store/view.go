package store

import (
	"context"
	"fmt"
	"time"
)

// A MemoryView is the view of a Memory for one VM.
type MemoryView struct {
	memory *Memory
	from   string
}

// Get implements Store.
func (v *MemoryView) Get(ctx context.Context, key string) (Object, error) {
	f, err := v.read(ctx, KindGet, key)
	if err != nil {
		return Object{}, err
	}
	return v.memory.get(key, f.Stale)
}

// List implements Store.
func (v *MemoryView) List(ctx context.Context, prefix string) ([]Object, error) {
	f, err := v.read(ctx, KindList, prefix)
	if err != nil {
		return nil, err
	}
	return v.memory.list(prefix, f.Stale), nil
}

// Put implements Store.
func (v *MemoryView) Put(ctx context.Context, key string, value []byte, expect int64) WriteResult {
	if len(value) > MaxValueBytes {
		return NotSent{Err: fmt.Errorf("value of %d bytes exceeds %d", len(value), MaxValueBytes)}
	}
	value = append([]byte{}, value...)
	return v.write(ctx, KindPut, key, value, expect)
}

// Delete implements Store.
func (v *MemoryView) Delete(ctx context.Context, key string, expect int64) WriteResult {
	return v.write(ctx, KindDelete, key, nil, expect)
}

// Watch implements Store.
func (v *MemoryView) Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error) {
	if _, err := v.read(ctx, KindWatch, prefix); err != nil {
		return nil, err
	}
	return v.memory.watch(ctx, v.from, prefix, after), nil
}

// VMs implements Directory.
func (v *MemoryView) VMs(ctx context.Context) ([]VMRecord, error) {
	if _, err := v.read(ctx, KindVMs, ""); err != nil {
		return nil, err
	}
	v.memory.mu.Lock()
	defer v.memory.mu.Unlock()
	return append([]VMRecord(nil), v.memory.vms...), nil
}

// read applies the fault of a read. If it returns an error, the call fails.
func (v *MemoryView) read(ctx context.Context, kind Kind, key string) (Fault, error) {
	if err := ctx.Err(); err != nil {
		return Fault{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	f := v.memory.admit(Call{From: v.from, Kind: kind, Key: key})
	if !f.wait(ctx) || f.Refuse || f.LoseResponse || f.LoseRequest {
		return Fault{}, fmt.Errorf("%w: %w", ErrUnavailable, errFault)
	}
	return f, nil
}

// write executes a write with its fault.
func (v *MemoryView) write(ctx context.Context, kind Kind, key string, value []byte, expect int64) WriteResult {
	if err := ctx.Err(); err != nil {
		return NotSent{Err: err}
	}
	f := v.memory.admit(Call{From: v.from, Kind: kind, Key: key})
	if f.Refuse {
		return NotSent{Err: errFault}
	}
	apply := func() { v.memory.write(key, value, expect) }
	switch {
	case f.LoseRequest:
		f.wait(ctx)
		return Unknown{Err: errFault}
	case f.LateWrite > 0:
		time.AfterFunc(f.LateWrite, apply)
		f.wait(ctx)
		return Unknown{Err: errFault}
	case !f.wait(ctx):
		// The request has been sent and takes effect although ctx has ended.
		apply()
		return Unknown{Err: ctx.Err()}
	case f.LoseResponse:
		apply()
		return Unknown{Err: errFault}
	}
	return v.memory.write(key, value, expect)
}
