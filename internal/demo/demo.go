// Package demo runs VMs, targets, the platform and callers in one process on
// the loopback interface, and checks what must hold while things fail.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
)

// timeLimit bounds the time of the whole demo.
const timeLimit = 20 * time.Second

// Run runs all steps, prints what happened and tells whether everything held
// that must hold.
func Run(ctx context.Context, w io.Writer, logger log.Logger) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	f, err := startFleet(ctx, demoVMs, logger)
	if err != nil {
		return false, err
	}
	steps := newShow(f).steps()
	results := runSteps(ctx, w, steps)
	held := printResults(w, results)
	return held && len(results) == len(steps), nil
}

// Stay keeps VMs, targets and the platform up until ctx ends, and prints how to
// reach them.
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
