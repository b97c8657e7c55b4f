// Package demo runs VMs, targets, the platform and callers in one process on the
// loopback interface, and checks their guarantees while it injects failures.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
)

// demoTimeout bounds the duration of the demo.
const demoTimeout = 20 * time.Second

// Run runs all steps, prints their results and reports whether all checks passed.
func Run(ctx context.Context, w io.Writer, logger log.Logger) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	f, err := startFleet(ctx, demoVMs, logger)
	if err != nil {
		return false, err
	}
	steps := newScenario(f).steps()
	results := runSteps(ctx, w, steps)
	allHeld := printResults(w, results)
	return allHeld && len(results) == len(steps), nil
}

// Serve runs VMs, targets and the platform until ctx ends, and prints how to reach
// them.
func Serve(ctx context.Context, w io.Writer, logger log.Logger) error {
	f, err := startFleet(ctx, demoVMs, logger)
	if err != nil {
		return err
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	for _, n := range f.vms {
		fmt.Fprintf(w, "%s in %s: callers %s, operators %s\n", n.id, n.dataCentre, n.callers, n.operators)
	}
	fmt.Fprintf(w, "targets:\n%s", f.addresses())
	fmt.Fprintf(w, "operators' token: %s\n\ntry:\n", operatorToken)
	fmt.Fprintf(w, "  VM=%s KEY=%s\n", f.vms[0].callers, hakataKey)
	fmt.Fprintln(w, `  curl -s -H "Authorization: Bearer $KEY" "http://$VM/entry?route=seat-verdict"`)
	fmt.Fprintln(w, `  curl -sN -H "Authorization: Bearer $KEY" "http://$VM/v1/chat/completions" \
    -d '{"model":"seat-verdict","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"May row 3 be held?"}]}'`)
	fmt.Fprintln(w, `  curl -s -H "Authorization: Bearer $KEY" -H 'Idempotency-Key: order-1' "http://$VM/s/seat-hold/holds" -d '{"seat":"C12"}'`)
	fmt.Fprintf(w, "  printf %s > token; go run . show vms --operator %s --token-file token\n", operatorToken, f.vms[0].operators)
	<-ctx.Done()
	return nil
}
