package store_test

import (
	"context"
	"fmt"

	"github.com/baobabdyke/baobabdyke/store"
)

func ExampleMemory_SetFault() {
	ctx := context.Background()
	m := store.NewMemory()
	m.SetFault(func(store.Call) store.Fault { return store.Fault{LoseResponse: true} })
	_, unknown := m.Put(ctx, "key", []byte("value"), store.MustNotExist).(store.Unknown)
	m.SetFault(nil)
	o, _ := m.Get(ctx, "key")
	fmt.Println(unknown, string(o.Value))
	// Output: true value
}

func ExampleBudget() {
	ctx := context.Background()
	m := store.NewMemory()
	b := store.NewBudget(m, store.BudgetOptions{PerSecond: 100, Burst: 100, Clock: store.SystemClock{}})
	b.WithPriority(store.PriorityHigh).Put(ctx, "key", nil, store.MustNotExist)
	fmt.Printf("%+v\n", b.Dump())
	// Output: {Breaker:closed Calls:1 Spent:0 Held:0}
}
