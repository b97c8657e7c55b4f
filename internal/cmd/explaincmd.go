package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/internal/logs/trail"
)

// explainCommand is the subcommand "explain".
type explainCommand struct {
	ID    string   `arg:"positional,required" help:"id of the request"`
	Files []string `arg:"positional,required" help:"logs of VMs"`
}

func (c *explainCommand) run(stdout, stderr io.Writer) int {
	var all []trail.Line
	for _, name := range c.Files {
		lines, err := c.read(name)
		if err != nil {
			return fail(stderr, ExitFailure, err)
		}
		all = append(all, lines...)
	}
	found := trail.Explain(all, c.ID)
	if len(found) == 0 {
		return fail(stderr, ExitFailure, eris.Errorf("no line of request %q in %d files", c.ID, len(c.Files)))
	}
	for _, l := range found {
		fmt.Fprintln(stdout, l)
	}
	return ExitOK
}

func (c *explainCommand) read(name string) ([]trail.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	return trail.Read(f, c.ID)
}
