package demo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// A step is one part of the demo. Run returns a summary of what happened, or an error
// if a check failed.
type step struct {
	name string
	run  func(ctx context.Context) (detail string, err error)
}

// A result is the outcome of a step.
type result struct {
	step   string
	detail string
	err    error
}

// runSteps runs the steps in order and prints a progress line for each.
func runSteps(ctx context.Context, w io.Writer, steps []step) []result {
	start := time.Now()
	results := make([]result, 0, len(steps))
	for i, s := range steps {
		fmt.Fprintf(w, "[%2d/%d] %4.1fs  %s\n", i+1, len(steps), time.Since(start).Seconds(), s.name)
		detail, err := s.run(ctx)
		results = append(results, result{step: s.name, detail: detail, err: err})
		if ctx.Err() != nil {
			break
		}
	}
	return results
}

// printResults prints a table of the results and reports whether all steps passed.
func printResults(w io.Writer, results []result) bool {
	allHeld := true
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "\nSTEP\tHELD\tWHAT HAPPENED")
	for _, r := range results {
		verdict, detail := "yes", r.detail
		if r.err != nil {
			verdict, detail = "NO", r.err.Error()
			allHeld = false
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\n", r.step, verdict, detail)
	}
	_ = tw.Flush()
	return allHeld
}
