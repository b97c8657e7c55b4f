package cmd

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/demo"
)

// errDemoFailed reports a demo with a failed check.
var errDemoFailed = errors.New("at least one check of the demo failed; see the table")

// demoCommand is the subcommand "demo".
type demoCommand struct {
	Stay bool `arg:"--stay" help:"keep everything up until the process is interrupted"`
	Log  bool `arg:"--log" help:"print the logs of the VMs"`
}

func (c *demoCommand) run(stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := log.NewNopLogger()
	if c.Log {
		logger = log.NewLogfmtLogger(log.NewSyncWriter(stderr))
	}
	if c.Stay {
		if err := demo.Serve(ctx, stdout, logger); err != nil {
			return fail(stderr, ExitFailure, err)
		}
		return ExitOK
	}
	passed, err := demo.Run(ctx, stdout, logger)
	switch {
	case err != nil:
		return fail(stderr, ExitFailure, err)
	case !passed:
		return fail(stderr, ExitFailure, errDemoFailed)
	default:
		return ExitOK
	}
}
