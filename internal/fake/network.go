package fake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// errRefused is the error of a refused connection.
var errRefused = errors.New("connection refused")

// A Network is an http.RoundTripper that calls in-process handlers by their
// address, without sockets, so that tests can run in virtual time.
type Network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	refused  map[string]bool
}

// NewNetwork returns a Network with no handlers.
func NewNetwork() *Network {
	return &Network{handlers: map[string]http.Handler{}, refused: map[string]bool{}}
}

// Add serves h at address.
func (n *Network) Add(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

// Refuse sets whether connections to address fail before anything is sent.
func (n *Network) Refuse(address string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[address] = refused
}

// RoundTrip implements http.RoundTripper.
func (n *Network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	h := n.handlers[r.URL.Host]
	if n.refused[r.URL.Host] {
		h = nil
	}
	n.mu.Unlock()
	if h == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	ctx, cancel := context.WithCancel(r.Context())
	in := r.Clone(ctx)
	if in.Body == nil {
		in.Body = http.NoBody
	}
	in.RequestURI = in.URL.RequestURI()
	read, write := io.Pipe()
	w := &pipeWriter{header: http.Header{}, started: make(chan struct{}), body: write}
	go w.serve(h, in)
	body := &pipeBody{PipeReader: read, cancel: cancel}
	context.AfterFunc(ctx, func() { _ = read.CloseWithError(context.Cause(ctx)) })
	select {
	case <-w.started:
	case <-ctx.Done():
		cancel()
		return nil, ctx.Err()
	}
	if w.status == 0 {
		cancel()
		return nil, io.ErrUnexpectedEOF
	}
	return &http.Response{
		Status: http.StatusText(w.status), StatusCode: w.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: w.sentHeader, Body: body, ContentLength: -1, Request: r,
	}, nil
}

// A pipeBody is the body of a response. Closing it cancels the context of the
// handler's request.
type pipeBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *pipeBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// A pipeWriter is the http.ResponseWriter of an in-process handler. The channel
// started is closed once the status is known or the handler has ended.
type pipeWriter struct {
	header     http.Header
	sentHeader http.Header
	status     int
	started    chan struct{}
	body       *io.PipeWriter
}

// serve runs the handler. If the handler panics with http.ErrAbortHandler, the
// client reads a truncated body.
func (w *pipeWriter) serve(h http.Handler, r *http.Request) {
	defer func() {
		cause := recover()
		if cause != nil && cause != http.ErrAbortHandler { //nolint:errorlint // A panic value is compared.
			panic(cause)
		}
		if cause != nil {
			w.end(io.ErrUnexpectedEOF)
			return
		}
		w.WriteHeader(http.StatusOK)
		w.end(nil)
	}()
	h.ServeHTTP(w, r)
}

// end closes the body, and unblocks the client if there was no response.
func (w *pipeWriter) end(err error) {
	if w.status == 0 {
		close(w.started)
	}
	_ = w.body.CloseWithError(err)
}

// Header implements http.ResponseWriter.
func (w *pipeWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *pipeWriter) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	w.sentHeader = w.header.Clone()
	close(w.started)
}

// Write implements http.ResponseWriter.
func (w *pipeWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// Flush implements http.Flusher.
func (*pipeWriter) Flush() {}
