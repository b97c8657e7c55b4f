package cmd

import (
	"fmt"
	"io"
	"runtime/debug"
)

// versionCommand is the subcommand "version".
type versionCommand struct{}

func (c *versionCommand) run(stdout, _ io.Writer) int {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	fmt.Fprintf(stdout, "baobabdyke %s\n", version)
	return ExitOK
}
