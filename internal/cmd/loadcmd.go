package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/demo"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// loadCommand is the subcommand "load".
type loadCommand struct {
	VM      []string      `arg:"--vm,separate,required" help:"callers' port of a VM to ask first, as IP:port"`
	KeyFile string        `arg:"--key-file" help:"file of the customer's key; none for open routes"`
	Route   string        `arg:"--route,required" help:"model route to send to"`
	Profile string        `arg:"--profile" default:"hakata" help:"hakata or saldo"`
	Speed   float64       `arg:"--speed" default:"1" help:"factor on the profile's rate of requests"`
	Time    time.Duration `arg:"--time" default:"10s" help:"how long to send"`
	Piece   int           `arg:"--piece" default:"8192" help:"bytes of one piece of a prompt, as the model's piece"`
	Seed    uint64        `arg:"--seed" default:"1" help:"the same seed sends the same requests"`
}

func (c *loadCommand) run(stdout, stderr io.Writer) int {
	key, err := settings.ReadSecret(c.KeyFile)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = demo.Load(ctx, demo.LoadOptions{
		VMs: c.VM, Key: string(key), Route: c.Route, Profile: c.Profile,
		Speed: c.Speed, Duration: c.Time, PieceBytes: c.Piece, Seed: c.Seed,
	}, stdout)
	if err != nil {
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}
