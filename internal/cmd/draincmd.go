package cmd

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// drainCommand is the subcommand "drain".
type drainCommand struct {
	operatorArguments
}

func (c *drainCommand) run(stdout, stderr io.Writer) int {
	response, err := c.call(http.MethodPost, "/drain", "")
	switch {
	case err != nil:
		return fail(stderr, ExitFailure, err)
	case response.status/100 != 2:
		return fail(stderr, ExitFailure, errors.New(response.describe()))
	default:
		fmt.Fprintf(stdout, "%s drains: it accepts requests until callers' cached entries have expired, "+
			"finishes running requests, and exits\n", c.Operator)
		return ExitOK
	}
}
