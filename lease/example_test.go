package lease_test

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
)

func ExampleAcquire() {
	ctx := context.Background()
	store := store.NewMemory()
	for _, vm := range []string{"vm-1", "vm-2"} {
		r := lease.Request{Name: "orders", Self: lease.Holder{ID: vm, Incarnation: 1}, TTL: 15 * time.Second}
		switch r := lease.Acquire(ctx, store, r).(type) {
		case lease.Held:
			fmt.Println(vm, "holds term", r.Record.Lease.Term)
		case lease.Taken:
			fmt.Println(vm, "finds", r.Record.Lease.Holder)
		}
	}
	// Output:
	// vm-1 holds term 1
	// vm-2 finds vm-1
}
