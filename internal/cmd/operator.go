package cmd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
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
	Authority string `arg:"--authority,env:BAOBABDYKE_AUTHORITY" placeholder:"FILE" help:"certificate of the authority that signed the VM's; the port is then asked over TLS"`
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
	scheme, transport, err := a.transport()
	if err != nil {
		return operatorAnswer{}, notSent(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, scheme+"://"+a.Operator+path, strings.NewReader(body))
	if err != nil {
		return operatorAnswer{}, notSent(err)
	}
	r.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	resp, err := (&http.Client{Transport: transport}).Do(r)
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

// transport returns how the operators' port is asked: over TLS if there is an
// authority to check its certificate with.
func (a operatorArguments) transport() (scheme string, t *http.Transport, err error) {
	t = &http.Transport{DisableKeepAlives: true}
	if a.Authority == "" {
		return "http", t, nil
	}
	pem, err := os.ReadFile(a.Authority)
	if err != nil {
		return "", nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return "", nil, eris.Errorf("authority %s holds no certificate", a.Authority)
	}
	t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return "https", t, nil
}

// classify marks errors of connections that never stood.
func classify(err error) error {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	if errors.As(err, &certificate) || errors.As(err, &op) && op.Op == "dial" {
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
