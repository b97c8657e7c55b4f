package cmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// showPages are the permitted values of showCommand.Page.
var showPages = []string{
	"config", "vms", "targets", "limits", "prefixes", "leases", "claims",
	"keeper", "queue", "requests", "routes", "platform", "life", "settings", "admission", "dump",
}

// showCommand is the subcommand "show".
type showCommand struct {
	operatorArguments
	Page   string `arg:"positional,required" help:"config, vms, targets, limits, prefixes, leases, claims, keeper, queue, requests, routes, platform, life, settings, admission or dump"`
	Output string `arg:"-o,--output" default:"table" help:"json or table"`
}

func (c *showCommand) run(stdout, stderr io.Writer) int {
	if err := c.check(); err != nil {
		return fail(stderr, ExitUsage, err)
	}
	response, err := c.call(http.MethodGet, "/"+c.Page, "")
	if err != nil {
		return fail(stderr, ExitFailure, err)
	}
	if response.status != http.StatusOK {
		return fail(stderr, ExitFailure, errors.New(response.describe()))
	}
	if err := c.print(stdout, response.body); err != nil {
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}

// check returns an error for a page or format that does not exist.
func (c *showCommand) check() error {
	known := false
	for _, page := range showPages {
		known = known || page == c.Page
	}
	switch {
	case !known:
		return fmt.Errorf("cannot show %q; permitted: %s", c.Page, strings.Join(showPages, ", "))
	case c.Output != "json" && c.Output != "table":
		return fmt.Errorf("no output format %q; permitted: json, table", c.Output)
	default:
		return nil
	}
}

func (c *showCommand) print(stdout io.Writer, body []byte) error {
	if c.Output == "json" {
		var indented bytes.Buffer
		if err := json.Indent(&indented, body, "", "  "); err != nil {
			return err
		}
		_, err := fmt.Fprintln(stdout, strings.TrimSpace(indented.String()))
		return err
	}
	return printTables(stdout, body)
}
