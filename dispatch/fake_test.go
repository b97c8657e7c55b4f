package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/target"
)

// A script returns the result of one send.
type script func(ctx context.Context, r target.Request) target.Result

// A client is a target.Client that uses one script per send, and the last script
// for all further sends.
type client struct {
	target.Client
	mu        sync.Mutex
	scripts   []script
	sent      []target.Request
	addresses []string
	cancelled []string
}

func (c *client) Send(ctx context.Context, address string, r target.Request) target.Result {
	c.mu.Lock()
	n := min(len(c.sent), len(c.scripts)-1)
	c.sent = append(c.sent, r)
	c.addresses = append(c.addresses, address)
	c.mu.Unlock()
	return c.scripts[n](ctx, r)
}

func (c *client) Cancel(_ context.Context, _, id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = append(c.cancelled, id)
	return nil
}

// events returns a script that streams events with the offsets first to last and
// then ends as given by tail: done, broken or silent.
func events(first, last int, tail string) script {
	return func(context.Context, target.Request) target.Result {
		pr, pw := io.Pipe()
		go func() {
			for i := first; i <= last; i++ {
				if _, err := fmt.Fprintf(pw, "id: %d\ndata: t%d\n\n", i, i); err != nil {
					return
				}
			}
			writeTail(pw, last+1, tail)
		}()
		return eventStream(pr)
	}
}

// writeTail ends an event stream as given by tail. A silent one stays open.
func writeTail(pw *io.PipeWriter, next int, tail string) {
	switch tail {
	case "done":
		_, _ = fmt.Fprintf(pw, "id: %d\ndata: [DONE]\n\n", next)
		_ = pw.Close()
	case "broken":
		_ = pw.CloseWithError(io.ErrUnexpectedEOF)
	case "silent":
	}
}

func eventStream(body io.ReadCloser) target.Result {
	return target.Responded{Response: target.Response{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"text/event-stream"}},
		Body:   body,
	}}
}

func fixedResult(r target.Result) script {
	return func(context.Context, target.Request) target.Result { return r }
}

// A chooser chooses the first target that is not excluded.
type chooser struct {
	targets []*config.Target
	first   int
	done    int
	// pause is the time between the first choice and its return to the caller.
	pause time.Duration
}

func newChooser(n int) *chooser {
	c := &chooser{}
	for i := range n {
		c.targets = append(c.targets, &config.Target{
			Name:    fmt.Sprintf("t%d", i),
			Kind:    config.TargetEngine,
			Address: fmt.Sprintf("10.0.0.%d:80", i),
		})
	}
	return c
}

func (c *chooser) Choose(_ context.Context, r route.Request) route.Choice {
	for _, t := range c.targets {
		if !contains(r.Excluded, t.Name) {
			at := time.Now()
			time.Sleep(c.pause)
			c.pause = 0
			return route.Chosen{
				Target:      t,
				ChosenAt:    at,
				Incarnation: "i1",
				Weights:     "w1",
				FirstByte:   func() { c.first++ },
				Done:        func(time.Duration, error) { c.done++ },
			}
		}
	}
	return route.NoTarget{Reason: "all failed"}
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}
