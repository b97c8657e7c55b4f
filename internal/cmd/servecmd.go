package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/daemon"
	"github.com/baobabdyke/baobabdyke/internal/gateway/node"
	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
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
	if s.Gateway != nil {
		return c.serveGateway(ctx, s, stderr)
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(stderr))
	logger = log.With(logger, "at", log.DefaultTimestampUTC)
	if err := daemon.Serve(ctx, s, logger); err != nil {
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}

// serveGateway runs a VM whose configuration and targets the platform keeps.
func (c *serveCommand) serveGateway(ctx context.Context, s settings.Settings, stderr io.Writer) int {
	lines := logline.NewWriter(os.Stdout)
	defer lines.Close()
	logger := log.With(log.NewLogfmtLogger(lines), "at", log.DefaultTimestampUTC)
	if err := node.New(s, logger).Run(ctx); err != nil {
		_ = logger.Log("msg", "end", "err", err)
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}
