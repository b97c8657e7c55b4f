package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/store"
)

// standInHeaderTimeout bounds the time in which a stand-in reads a request header.
const standInHeaderTimeout = 5 * time.Second

// standInCommand is the subcommand "standin". It runs a fake platform, engine or
// service as a separate process, for tests and trials.
type standInCommand struct {
	Kind    string   `arg:"positional,required" help:"platform, engine or service"`
	Address string   `arg:"required" help:"IP:port to serve on"`
	Name    string   `help:"name of the engine or service" default:"standin"`
	Model   string   `help:"model of the engine" default:"kuroko"`
	VM      []string `arg:"separate" help:"a VM that the platform lists, as id,address,datacentre"`
}

// A standInReport is the activity report of a stand-in: the total number of runs,
// the most runs of one request, and the number of seats held.
type standInReport struct {
	Runs int `json:"runs"`
	Most int `json:"most"`
	Held int `json:"held"`
}

func (c *standInCommand) run(_, stderr io.Writer) int {
	h, err := c.handler()
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", c.Address)
	if err != nil {
		return fail(stderr, ExitFailure, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: standInHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(l); ctx.Err() == nil {
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}

// handler returns the handler of the stand-in selected by the arguments.
func (c *standInCommand) handler() (http.Handler, error) {
	switch c.Kind {
	case "platform":
		return c.platform()
	case "engine":
		e := fake.NewEngine(fake.EngineOptions{Name: c.Name, Model: c.Model})
		return withReport(e, func() standInReport {
			return standInReport{Runs: e.TotalRuns(), Most: e.MaxRunsPerRequest()}
		}), nil
	case "service":
		s := fake.NewService(c.Name)
		return withReport(s, func() standInReport {
			return standInReport{Runs: s.TotalRuns(), Most: s.MaxRunsPerRequest(), Held: s.HeldSeats()}
		}), nil
	default:
		return nil, eris.Errorf("%q is no stand-in; permitted: platform, engine, service", c.Kind)
	}
}

func (c *standInCommand) platform() (http.Handler, error) {
	memory := store.NewMemory()
	var list []store.VMRecord
	for _, text := range c.VM {
		parts := strings.Split(text, ",")
		if len(parts) != 3 {
			return nil, eris.Errorf("--vm %q is not id,address,datacentre", text)
		}
		list = append(list, store.VMRecord{
			ID: parts[0], Address: parts[1], DataCentre: parts[2], State: store.VMLive,
		})
	}
	memory.SetVMs(list)
	return fake.NewObjectStore(memory), nil
}

// withReport adds the path /standin, which serves the report of the stand-in.
func withReport(h http.Handler, report func() standInReport) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("GET /standin", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report())
	})
	return mux
}
