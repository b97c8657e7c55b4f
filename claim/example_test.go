package claim_test

import (
	"context"
	"fmt"
	"net/http"

	"github.com/baobabdyke/baobabdyke/claim"
	"github.com/baobabdyke/baobabdyke/store"
)

func ExampleTask() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := claim.NewTask(claim.Options{Self: "vm-1", Store: store.NewMemory(), Clock: store.SystemClock{}})
	go func() { _ = t.Run(ctx) }()

	name := claim.Request{Customer: "bunraku", Route: "hold", Key: "row-4-seat-7", Digest: "hash of the request"}
	for range 2 {
		switch r := t.Begin(ctx, name).(type) {
		case claim.Granted:
			fmt.Println("run it")
			_ = t.Finish(ctx, r.Ticket, claim.Response{Status: http.StatusCreated})
		case claim.Repeated:
			fmt.Println("it ran, with status", r.Response.Status)
		}
	}
	// Output:
	// run it
	// it ran, with status 201
}
