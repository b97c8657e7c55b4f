package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/baobabdyke/baobabdyke/config"
)

// checkCommand is the subcommand "check".
type checkCommand struct {
	File     string `arg:"positional,required" help:"file in YAML"`
	Settings bool   `arg:"--settings" help:"the file holds the settings of a process, not a configuration"`
	Patch    bool   `arg:"--patch" help:"the file holds a patch, not a configuration"`
}

func (c *checkCommand) run(stdout, stderr io.Writer) int {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	summary, err := c.check(data)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	fmt.Fprintf(stdout, "%s: %s\n", c.File, summary)
	return ExitOK
}

// check validates the file and returns a summary of its content, or an error with
// all its problems.
func (c *checkCommand) check(data []byte) (string, error) {
	switch {
	case c.Settings:
		return checkSettings(c.File, data)
	case c.Patch:
		p, err := config.DecodePatch(c.File, data)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("patch %s against version %d", p.ID, p.Base), nil
	default:
		cfg, err := config.Decode(c.File, data)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("configuration with %d customers, %d routes, %d models, %d targets",
			len(cfg.Customers), len(cfg.Routes), len(cfg.Models), len(cfg.Targets)), nil
	}
}
