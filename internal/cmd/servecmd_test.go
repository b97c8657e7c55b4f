package cmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/gateway/node"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// A syncBuffer is a log buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *syncBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

func TestWatchSettings(t *testing.T) {
	good, err := os.ReadFile("testdata/gateway.yaml")
	must.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { must.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(string(good))
	s, err := settings.Load(file)
	must.NoError(t, err)

	out := &syncBuffer{}
	logger := log.NewLogfmtLogger(out)
	hangups := make(chan os.Signal)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	c := &serveCommand{File: file}
	go func() {
		defer close(done)
		c.watchSettings(ctx, node.New(s, logger), hangups, logger)
	}()
	await := func(text string, n int) {
		t.Helper()
		for out.count(text) < n {
			time.Sleep(5 * time.Millisecond)
		}
	}

	hangups <- syscall.SIGHUP
	must.Eq(t, 0, out.count("settings"), must.Sprint("nothing has changed"))
	for i, bad := range []string{
		strings.Replace(string(good), "grace: 8s", "grace: -8s", 1),
		strings.Replace(string(good), "memory", "colour", 1),
		"vm: [", strings.Split(string(good), "gateway:")[0],
	} {
		write(bad)
		hangups <- syscall.SIGHUP
		await("changed settings refused", i+1)
	}
	must.Eq(t, 0, out.count("settings reloaded"))
	write(strings.Replace(string(good), "grace: 8s", "grace: 6s", 1))
	await("settings reloaded", 1) // without a signal
	must.Eq(t, 1, out.count("gateway.bounds.grace: 8s -> 6s"))

	// Two changes within a second, the first of which is seen half written.
	write(strings.Split(string(good), "bounds:")[0] + "bounds: {grace")
	hangups <- syscall.SIGHUP
	await("changed settings refused", 5)
	write(strings.Replace(string(good), "grace: 8s", "grace: 5s", 1))
	hangups <- syscall.SIGHUP
	write(strings.Replace(string(good), "grace: 8s", "grace: 4s", 1))
	hangups <- syscall.SIGHUP
	await("-> 4s", 1)
	// The change between them, and the file while it is being replaced, may have been read
	// or not. No refused file changes a setting.
	must.LessEq(t, 3, out.count("settings reloaded"))
	cancel()
	<-done
}
