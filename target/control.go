package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"
)

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, address, requestID string) error {
	return c.call(ctx, http.MethodPost, address, "/cancel?id="+url.QueryEscape(requestID), nil, nil)
}

// Load implements Client.
func (c *HTTPClient) Load(ctx context.Context, address string) (Report, error) {
	var report Report
	err := c.call(ctx, http.MethodGet, address, "/load", nil, &report)
	return report, err
}

// Snapshot implements Client.
func (c *HTTPClient) Snapshot(ctx context.Context, address string) (CacheSnapshot, error) {
	var s CacheSnapshot
	err := c.call(ctx, http.MethodGet, address, "/snapshot", nil, &s)
	return s, err
}

// Transfer implements Client.
func (c *HTTPClient) Transfer(ctx context.Context, address, cache string, pieces []uint64) error {
	body := struct {
		Cache  string   `json:"cache"`
		Pieces []uint64 `json:"pieces"`
	}{cache, pieces}
	return c.call(ctx, http.MethodPost, address, "/import", body, nil)
}

// Cached implements CacheReader.
func (c *HTTPClient) Cached(ctx context.Context, address string, pieces []uint64) (int, error) {
	var body struct {
		Pieces []uint64 `json:"pieces"`
	}
	err := c.call(ctx, http.MethodGet, address, "/pieces?keys="+formatPieces(pieces), nil, &body)
	if err != nil {
		return 0, err
	}
	n := 0
	for n < len(body.Pieces) && n < len(pieces) && body.Pieces[n] == pieces[n] {
		n++
	}
	return n, nil
}

// Order implements Client.
func (c *HTTPClient) Order(ctx context.Context, address string, o Order) OrderResult {
	ctx, cancel := context.WithTimeout(ctx, o.Lifetime)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return OrderRefused{Reason: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", singleUseReader{bytes.NewReader(body)})
	if err != nil {
		return OrderRefused{Reason: err.Error()}
	}
	c.authorize(req.Header)
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderFencingToken, strconv.FormatInt(o.FencingToken, 10))
	resp, err := c.sendClient.Do(req)
	if err != nil {
		return OrderLost{Err: eris.Wrap(err, "send order to target")}
	}
	defer resp.Body.Close()
	data, err := readBody(resp)
	if err != nil {
		return OrderLost{Err: err}
	}
	return orderResult(resp, data)
}

func orderResult(resp *http.Response, data []byte) OrderResult {
	var refusal struct {
		Reason string `json:"reason"`
		Fenced bool   `json:"fenced"`
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return OrderDone{}
	case http.StatusConflict:
		if err := json.Unmarshal(data, &refusal); err != nil {
			return OrderLost{Err: eris.Wrap(err, "decode response to order")}
		}
		return OrderRefused{Reason: refusal.Reason, Fenced: refusal.Fenced}
	default:
		return OrderLost{Err: eris.Errorf("unexpected response to order: %s", resp.Status)}
	}
}

// call sends a control message, with in as its JSON body unless in is nil, and
// decodes the response into out unless out is nil.
func (c *HTTPClient) call(ctx context.Context, method, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "encode message to target")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return eris.Wrap(err, "create request to target")
	}
	c.authorize(req.Header)
	resp, err := c.controlClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	defer resp.Body.Close()
	data, err := readBody(resp)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	if resp.StatusCode == http.StatusNotFound {
		return ErrNoReport
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("%s %s: %s", method, path, resp.Status)
	}
	if out == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(data, out), "decode response to %s", path)
}

// readBody reads the body of a response to its end. The header of a response that breaks off
// states nothing, so that it must be called before the status is used.
func readBody(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	return data, eris.Wrap(err, "read response of target")
}
