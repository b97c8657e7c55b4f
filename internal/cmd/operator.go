package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// operatorTimeout bounds one request to the operators' port.
	operatorTimeout = 15 * time.Second
	// operatorAnswerBytes is the largest answer that is read.
	operatorAnswerBytes = 64 << 20
)

// operatorArguments are the arguments of the subcommands that speak to a VM.
type operatorArguments struct {
	Operator  string `arg:"--operator,required,env:BAOBABDYKE_OPERATOR" placeholder:"IP:PORT" help:"operators' port of any VM"`
	TokenFile string `arg:"--token-file,required,env:BAOBABDYKE_TOKEN_FILE" placeholder:"FILE" help:"file with the operators' token"`
}

// An operatorAnswer is what the operators' port of a VM answered.
type operatorAnswer struct {
	status int
	body   []byte
}

// errNotSent reports a request that provably did not reach the VM.
var errNotSent = errors.New("not sent")

// call sends one request to the operators' port. Its error wraps errNotSent if
// the VM cannot have acted on the request.
func (a operatorArguments) call(method, path, body string) (operatorAnswer, error) {
	token, err := os.ReadFile(a.TokenFile)
	if err != nil {
		return operatorAnswer{}, notSent(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+a.Operator+path, strings.NewReader(body))
	if err != nil {
		return operatorAnswer{}, notSent(err)
	}
	r.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return operatorAnswer{}, classify(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, operatorAnswerBytes))
	if err != nil {
		return operatorAnswer{}, eris.Wrap(err, "read the answer")
	}
	return operatorAnswer{status: resp.StatusCode, body: data}, nil
}

// classify marks errors of connections that never stood.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notSent(err)
	}
	return err
}

func notSent(err error) error { return fmt.Errorf("%w: %w", errNotSent, err) }

// explain returns what an unexpected answer means.
func (a operatorAnswer) explain() string {
	switch a.status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return "the VM does not accept the operators' token"
	case http.StatusNotFound:
		return "the VM has no such page; is --operator the operators' port?"
	default:
		return fmt.Sprintf("the VM answered %d: %s", a.status, strings.TrimSpace(string(a.body)))
	}
}
