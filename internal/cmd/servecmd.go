package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/daemon"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// serveCommand is the subcommand "serve".
type serveCommand struct {
	File string `arg:"positional,required" help:"settings in YAML"`
}

func (c *serveCommand) run(_, stderr io.Writer) int {
	s, err := settings.Load(c.File)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := log.NewLogfmtLogger(log.NewSyncWriter(stderr))
	logger = log.With(logger, "at", log.DefaultTimestampUTC)
	if err := daemon.Serve(ctx, s, logger); err != nil {
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}
