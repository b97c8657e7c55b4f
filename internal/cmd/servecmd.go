package cmd

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

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
	// Before anything else, since an early SIGHUP would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := settings.Load(c.File)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if s.Gateway != nil {
		return c.serveGateway(ctx, s, hangups, stderr)
	}
	signal.Reset(syscall.SIGHUP)
	logger := log.NewLogfmtLogger(log.NewSyncWriter(stderr))
	logger = log.With(logger, "at", log.DefaultTimestampUTC)
	if err := daemon.Serve(ctx, s, logger); err != nil {
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}

// serveGateway runs a VM whose configuration and targets the platform keeps.
func (c *serveCommand) serveGateway(ctx context.Context, s settings.Settings, hangups <-chan os.Signal, stderr io.Writer) int {
	lines := logline.NewWriter(os.Stdout)
	defer lines.Close()
	logger := log.With(log.NewLogfmtLogger(lines), "at", log.DefaultTimestampUTC)
	listeners, s, err := node.Listen(ctx, s)
	if err != nil {
		return fail(stderr, ExitFailure, err)
	}
	n := node.New(s, logger)
	// A VM that stops as planned still takes signals.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go c.reload(work, n, hangups, logger)
	if err := n.Run(ctx, listeners); err != nil {
		_ = logger.Log("msg", "end", "err", err)
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}

// reloadPeriod is the time between two looks at the settings file, which may
// change without a signal.
const reloadPeriod = 2 * time.Second

// reload puts changed settings into force until ctx ends. Settings that are not
// valid leave the old ones in force.
func (c *serveCommand) reload(ctx context.Context, n *node.Node, hangups <-chan os.Signal, logger log.Logger) {
	tick := time.NewTicker(reloadPeriod)
	defer tick.Stop()
	last, err := os.ReadFile(c.File)
	if err != nil {
		_ = logger.Log("msg", "settings not read", "err", err)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-tick.C:
		}
		data, err := os.ReadFile(c.File)
		if err != nil || bytes.Equal(data, last) {
			continue
		}
		last = data
		s, err := settings.Decode(c.File, data)
		switch {
		case err != nil:
			_ = logger.Log("msg", "changed settings refused", "err", err)
		case s.Gateway == nil:
			_ = logger.Log("msg", "changed settings refused", "err", "the section gateway is missing")
		default:
			n.Reload(s)
		}
	}
}
