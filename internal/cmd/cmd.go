// Package cmd implements the command line of baobabdyke, with one file per
// subcommand.
package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes of the program.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailure reports that the command failed.
	ExitFailure = 1
	// ExitUsage reports invalid arguments, settings or configuration.
	ExitUsage = 2
	// ExitConflict reports a patch whose base is not the current version.
	ExitConflict = 3
	// ExitUnknown reports a patch that may or may not have been applied.
	ExitUnknown = 4
	// ExitRefused reports a patch that was refused, of which nothing was applied.
	ExitRefused = 5
)

// A command is one subcommand. Its run method returns the exit code.
type command interface {
	run(stdout, stderr io.Writer) int
}

// arguments are the command-line arguments of the program: one subcommand.
type arguments struct {
	Serve   *serveCommand        `arg:"subcommand:serve" help:"run a VM with the settings in a file"`
	Check   *checkCommand        `arg:"subcommand:check" help:"check a configuration, a patch or settings without sending them"`
	Patch   *patchCommand        `arg:"subcommand:patch" help:"change the configuration"`
	Show    *showCommand         `arg:"subcommand:show" help:"show the state of a VM"`
	Drain   *drainCommand        `arg:"subcommand:drain" help:"stop a VM without cutting requests"`
	Demo    *demoCommand         `arg:"subcommand:demo" help:"run VMs, targets and callers in this process"`
	Load    *loadCommand         `arg:"subcommand:load" help:"send the requests of a modelled deployment to a fleet"`
	StandIn *standInCommand      `arg:"subcommand:standin" help:"run a stand-in of the platform, an engine or a service"`
	Explain *explainCommand      `arg:"subcommand:explain" help:"follow a request through the logs of VMs"`
	Route   *explainRouteCommand `arg:"subcommand:explain-route" help:"explain how a VM would handle a request, without sending it; also: explain route"`
	Version *versionCommand      `arg:"subcommand:version" help:"print the version"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "baobabdyke routes language-model traffic with long shared prompts."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong arguments, settings or configuration, " +
		"3 patch conflicts with a newer version, 4 outcome of a patch unknown, 5 patch refused."
}

// Main runs the program with args and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "baobabdyke", Out: stdout}, &a)
	if err != nil {
		return fail(stderr, ExitFailure, err)
	}
	err = p.Parse(joinExplainRoute(args))
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return ExitOK
	case err != nil:
		return fail(stderr, ExitUsage, err)
	}
	c, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(stderr)
		return ExitUsage
	}
	return c.run(stdout, stderr)
}

// fail prints err and returns code.
func fail(stderr io.Writer, code int, err error) int {
	fmt.Fprintf(stderr, "baobabdyke: %v\n", err)
	return code
}
