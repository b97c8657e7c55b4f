package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/baobabdyke/baobabdyke/config"
)

// patchCommand is the subcommand "patch".
type patchCommand struct {
	operatorArguments
	First bool   `arg:"--first" help:"the file holds a whole configuration, to be the first"`
	File  string `arg:"positional,required" help:"patch in YAML"`
}

// A patchResponse is the body of the response to a patch.
type patchResponse struct {
	Outcome  string           `json:"outcome"`
	Version  int64            `json:"version"`
	Problems []config.Problem `json:"problems"`
	Error    string           `json:"error"`
}

func (c *patchCommand) run(stdout, stderr io.Writer) int {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	data, err = c.patch(data)
	if err != nil {
		return fail(stderr, ExitRefused, fmt.Errorf("refused, not sent:\n%w", err))
	}
	response, err := c.call(http.MethodPost, "/patch", string(data))
	switch {
	case errors.Is(err, errNotSent):
		return fail(stderr, ExitFailure, fmt.Errorf("patch %w", err))
	case err != nil:
		return unknownPatch(stderr, err.Error())
	}
	return c.report(response, stdout, stderr)
}

// patch validates the file and returns the patch to send.
func (c *patchCommand) patch(data []byte) ([]byte, error) {
	if !c.First {
		_, err := config.DecodePatch(c.File, data)
		return data, err
	}
	cfg, err := config.Decode(c.File, data)
	if err != nil {
		return nil, err
	}
	return config.EncodePatch(config.FirstPatch(cfg))
}

// report prints the outcome and returns its exit code.
func (c *patchCommand) report(response operatorResponse, stdout, stderr io.Writer) int {
	var body patchResponse
	_ = json.Unmarshal(response.body, &body)
	switch {
	case response.status == http.StatusOK && body.Outcome == "accepted":
		fmt.Fprintf(stdout, "accepted as version %d\n", body.Version)
		return ExitOK
	case response.status == http.StatusConflict:
		fmt.Fprintf(stderr, "conflict: the current version is %d; nothing was changed. "+
			"Read it with \"show config\", then send the patch against it.\n", body.Version)
		return ExitConflict
	case response.status == http.StatusUnprocessableEntity:
		problems := &config.Problems{List: body.Problems}
		return fail(stderr, ExitRefused, fmt.Errorf("refused, nothing was changed:\n%w", problems))
	case response.status == http.StatusServiceUnavailable:
		return unknownPatch(stderr, body.Error)
	case response.status >= http.StatusInternalServerError:
		return unknownPatch(stderr, response.describe())
	default:
		return fail(stderr, ExitFailure, fmt.Errorf("not sent on: %s", response.describe()))
	}
}

// unknownPatch reports a patch that may or may not have been applied.
func unknownPatch(stderr io.Writer, reason string) int {
	fmt.Fprintf(stderr, "unknown: the patch may or may not be in force (%s). "+
		"Send the same file again: a patch with the same id takes effect once.\n", reason)
	return ExitUnknown
}
