// Baobabdyke routes language-model traffic with long shared prompts.
package main

import (
	"os"

	"github.com/baobabdyke/baobabdyke/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
