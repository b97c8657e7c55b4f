package cmd

import (
	"bytes"
	"context"
	"errors"
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
	// Register the handler first: until then a SIGHUP would terminate the process.
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

// serveGateway runs a VM that gets its configuration and targets from the
// platform.
func (c *serveCommand) serveGateway(ctx context.Context, s settings.Settings, hangups <-chan os.Signal, stderr io.Writer) int {
	lines := logline.NewWriter(os.Stdout)
	defer lines.Close()
	logger := log.With(log.NewLogfmtLogger(lines), "at", log.DefaultTimestampUTC)
	listeners, s, err := node.Listen(ctx, s)
	if err != nil {
		return fail(stderr, ExitFailure, err)
	}
	n := node.New(s, logger)
	// Settings are still reloaded during a graceful shutdown.
	watchCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go c.watchSettings(watchCtx, n, hangups, logger)
	if err := n.Run(ctx, listeners); err != nil {
		_ = logger.Log("msg", "VM stopped with an error", "err", err)
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}

// reloadInterval is how often the settings file is checked, which may change
// without a signal.
const reloadInterval = 2 * time.Second

// errNoGateway refuses a settings file that would make the VM one of another kind.
var errNoGateway = errors.New("the section gateway is missing")

// watchSettings applies changes of the settings file until ctx ends. Invalid
// settings are logged and ignored.
func (c *serveCommand) watchSettings(ctx context.Context, n *node.Node, hangups <-chan os.Signal, logger log.Logger) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last, err := os.ReadFile(c.File)
	if err != nil {
		_ = logger.Log("msg", "settings file not readable", "err", err)
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
			n.RefuseSettings(err)
		case s.Gateway == nil:
			n.RefuseSettings(errNoGateway)
		default:
			n.Reload(s)
		}
	}
}
