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

	"github.com/baobabdyke/baobabdyke/answer"
)

const (
	// operatorTimeout bounds one request to the operators' port.
	operatorTimeout = 15 * time.Second
	// maxOperatorResponseBytes bounds the part of a response that is read.
	maxOperatorResponseBytes = 64 << 20
)

// operatorArguments are the arguments of the subcommands that connect to the
// operators' port of a VM.
type operatorArguments struct {
	Operator  string `arg:"--operator,required,env:BAOBABDYKE_OPERATOR" placeholder:"IP:PORT" help:"operators' port of any VM"`
	TokenFile string `arg:"--token-file,required,env:BAOBABDYKE_TOKEN_FILE" placeholder:"FILE" help:"file with the operators' token"`
	Authority string `arg:"--authority,env:BAOBABDYKE_AUTHORITY" placeholder:"FILE" help:"certificate of the authority that signed the VM's; the port is then asked over TLS"`
}

// An operatorResponse is a response of the operators' port.
type operatorResponse struct {
	status int
	body   []byte
}

// errNotSent reports a request that certainly did not reach the VM.
var errNotSent = errors.New("not sent")

// call sends one request to the operators' port. The error wraps errNotSent if
// the VM cannot have received the request.
func (a operatorArguments) call(method, path, body string) (operatorResponse, error) {
	token, err := os.ReadFile(a.TokenFile)
	if err != nil {
		return operatorResponse{}, wrapNotSent(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	scheme, transport, err := a.newTransport()
	if err != nil {
		return operatorResponse{}, wrapNotSent(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, scheme+"://"+a.Operator+path, strings.NewReader(body))
	if err != nil {
		return operatorResponse{}, wrapNotSent(err)
	}
	r.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	resp, err := (&http.Client{Transport: answer.Transport{Base: transport}}).Do(r)
	if err != nil {
		return operatorResponse{}, wrapDialError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOperatorResponseBytes))
	if err != nil {
		return operatorResponse{}, eris.Wrap(err, "read the answer")
	}
	return operatorResponse{status: resp.StatusCode, body: data}, nil
}

// newTransport returns the scheme and transport for the operators' port. They use
// TLS if an authority is given, which must have signed the certificate of the VM.
func (a operatorArguments) newTransport() (scheme string, t *http.Transport, err error) {
	t = &http.Transport{DialContext: answer.Dial(new(net.Dialer).DialContext), DisableKeepAlives: true}
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

// wrapDialError wraps errNotSent around errors that occur before a connection is
// established.
func wrapDialError(err error) error {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	if errors.As(err, &certificate) || errors.As(err, &op) && op.Op == "dial" {
		return wrapNotSent(err)
	}
	return err
}

func wrapNotSent(err error) error { return fmt.Errorf("%w: %w", errNotSent, err) }

// describe returns an error message for an unexpected response.
func (r operatorResponse) describe() string {
	switch r.status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return "the VM does not accept the operators' token"
	case http.StatusNotFound:
		return "the VM has no such page; is --operator the operators' port?"
	default:
		return fmt.Sprintf("the VM answered %d: %s", r.status, strings.TrimSpace(string(r.body)))
	}
}
