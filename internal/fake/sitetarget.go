package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A SiteMode is the way in which a SiteTarget responds.
type SiteMode int

// Modes of a SiteTarget.
const (
	// SiteNormal responds correctly.
	SiteNormal SiteMode = iota
	// SiteReject responds that the request was not run.
	SiteReject
	// SiteError runs the request and responds with status 500.
	SiteError
	// SiteUnavailable runs the request and responds with status 503.
	SiteUnavailable
	// SiteReset runs the request and closes the connection before the response.
	SiteReset
	// SiteTruncated closes the connection in the middle of the response.
	SiteTruncated
	// SiteUnframed sends a response without a length that ends with the
	// connection.
	SiteUnframed
	// SiteExtraResponse sends an additional response after its own.
	SiteExtraResponse
	// SiteStrayResponse sends the response to another request before its own.
	SiteStrayResponse
	// SiteUnsealed responds without the Baobabdyke-Response-Seal header.
	SiteUnsealed
	// SiteHang runs the request and never responds.
	SiteHang
	// SiteEncoded declares a gzip encoding for a plain-text body.
	SiteEncoded
	// SiteEarlyResponse rejects the request before it has read the body, then
	// reads the body and keeps the connection.
	SiteEarlyResponse
	// SiteMalformed sends bytes that are not an HTTP response.
	SiteMalformed
	// SiteHeaderOnly closes the connection after the header of the response.
	SiteHeaderOnly
	// SiteRepeatBefore writes the latest rejection once more before the response,
	// SiteRepeatTwice twice, and SiteRepeatEarly before the request is read.
	// SiteRepeatAfter writes it after the response.
	SiteRepeatBefore
	SiteRepeatTwice
	SiteRepeatEarly
	SiteRepeatAfter
)

// A SiteRun is a request that a SiteTarget ran.
type SiteRun struct {
	ID     string
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// A SiteTarget is a stand-in for a target of an operator's site. It implements
// HTTP/1.1 on raw connections, so that it can violate the protocol.
type SiteTarget struct {
	ID string

	mu            sync.Mutex
	mode          SiteMode
	queuedModes   []SiteMode
	runs          []SiteRun
	version       int64
	orderCount    int64
	eventCount    int
	eventInterval time.Duration
	connections   int
	received      int
	working       int
	header        http.Header
	// rejections counts the requests that were not run in mode SiteReject.
	rejections int
	// thawed is closed when the target goes on; nil unless it is silent.
	thawed chan struct{}
	// rejection is the latest rejection as it was written; anonymous reports whether
	// it is repeated without the id of its request.
	rejection string
	anonymous bool
	response  func(SiteRun) string
	// reset reports whether connections are reset rather than closed after response.
	reset bool
}

// NewSiteTarget returns a SiteTarget in mode SiteNormal whose streams have
// eventCount events.
func NewSiteTarget(id string, eventCount int) *SiteTarget {
	return &SiteTarget{ID: id, eventCount: eventCount, version: 1, header: http.Header{}}
}

// SetMode sets the mode of all following requests and clears the queued modes.
func (t *SiteTarget) SetMode(m SiteMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode, t.queuedModes = m, nil
}

// QueueModes sets the modes of the next requests, one for each request.
func (t *SiteTarget) QueueModes(modes ...SiteMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queuedModes = modes
}

// SetEventInterval sets the time between the events of a stream.
func (t *SiteTarget) SetEventInterval(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eventInterval = d
}

// SetHeader sets a header that is added to the responses to callers' requests; an empty
// value removes it.
func (t *SiteTarget) SetHeader(name, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if value == "" {
		t.header.Del(name)
		return
	}
	t.header.Set(name, value)
}

// Received returns the number of callers' requests that arrived, including those that
// were not run.
func (t *SiteTarget) Received() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received
}

// Working returns the number of requests that were run and have not ended.
func (t *SiteTarget) Working() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.working
}

// Silence makes the target send nothing of an answer until Resume is called. It still
// accepts connections and requests.
func (t *SiteTarget) Silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.thawed == nil {
		t.thawed = make(chan struct{})
	}
}

// Resume ends a silence.
func (t *SiteTarget) Resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.thawed != nil {
		close(t.thawed)
		t.thawed = nil
	}
}

// awaitResume blocks while the target is silent.
func (t *SiteTarget) awaitResume() {
	t.mu.Lock()
	thawed := t.thawed
	t.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// Rejections returns the number of requests that were not run in mode SiteReject.
func (t *SiteTarget) Rejections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejections
}

// SetAnonymousRepeats sets whether rejections are repeated without the id.
func (t *SiteTarget) SetAnonymousRepeats(anonymous bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.anonymous = anonymous
}

// SetResponse sets a function that returns the bytes of each response, after which the
// connection is closed. Nil restores the modes.
func (t *SiteTarget) SetResponse(f func(SiteRun) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.response = f
}

// SetReset sets whether the connection is reset, rather than closed, after a response of
// SetResponse.
func (t *SiteTarget) SetReset(reset bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reset = reset
}

// Runs returns the requests that were run.
func (t *SiteTarget) Runs() []SiteRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]SiteRun(nil), t.runs...)
}

// Version returns the loaded version of the weights.
func (t *SiteTarget) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Connections returns the number of connections accepted.
func (t *SiteTarget) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections
}

// Serve accepts connections on l until it is closed.
func (t *SiteTarget) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.connections++
		t.mu.Unlock()
		go t.serveConn(c)
	}
}

func (t *SiteTarget) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	read := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(read)
		if err != nil || !t.handle(c, r) {
			return
		}
	}
}

// nextMode returns the mode of the next request.
func (t *SiteTarget) nextMode() SiteMode {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queuedModes) > 0 {
		m := t.queuedModes[0]
		t.queuedModes = t.queuedModes[1:]
		return m
	}
	return t.mode
}

// handle handles one request and reports whether the connection can be reused.
func (t *SiteTarget) handle(c net.Conn, r *http.Request) bool {
	switch r.URL.Path {
	case "/report":
		return t.report(c)
	case "/order":
		return t.order(c, r)
	case "/kv-events":
		return write(c, "200 OK", "", `{"bootEpoch":1,"nextPage":1,"lost":false,"events":[]}`)
	}
	t.mu.Lock()
	t.received++
	t.mu.Unlock()
	echo := "Baobabdyke-Request-Id: " + r.Header.Get("Baobabdyke-Request-Id") + "\r\n"
	if want := r.Header.Get("Baobabdyke-Expect-Instance"); want != "" && want != t.ID {
		_, _ = io.Copy(io.Discard, r.Body)
		return t.write(c, "421 Misdirected Request", echo+"Baobabdyke-Instance-Id: "+t.ID+"\r\n", "")
	}
	if want := r.Header.Get("Baobabdyke-Expect-Version"); want != "" && want != strconv.FormatInt(t.Version(), 10) {
		_, _ = io.Copy(io.Discard, r.Body)
		return t.write(c, "421 Misdirected Request", fmt.Sprintf("%sBaobabdyke-Weight-Versions: %d\r\n", echo, t.Version()), "")
	}
	mode := t.nextMode()
	if mode == SiteEarlyResponse {
		// The rejection is sent before the body is read, and the connection
		// stays usable.
		_ = t.write(c, "503 Service Unavailable", echo+"Baobabdyke-Not-Executed: 1\r\n", "")
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	if mode == SiteRepeatEarly && !t.repeatRejection(c) {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if mode == SiteReject {
		return t.reject(c, echo)
	}
	run := SiteRun{ID: r.Header.Get("Baobabdyke-Request-Id"), Method: r.Method, Path: r.RequestURI, Header: r.Header, Body: body}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.working++
	response, reset := t.response, t.reset
	t.mu.Unlock()
	defer t.endRun()
	if response != nil {
		_, _ = io.WriteString(c, response(run))
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	return t.respond(c, mode, run)
}

// endRun records that a request has ended.
func (t *SiteTarget) endRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.working--
}

// reject responds that the request was not run.
func (t *SiteTarget) reject(c net.Conn, echo string) bool {
	text := func(echo string) string {
		var b strings.Builder
		t.write(&b, "503 Service Unavailable", echo+"Baobabdyke-Not-Executed: 1\r\n", "full")
		return b.String()
	}
	own, anonymous := text(echo), text("")
	t.mu.Lock()
	t.rejections++
	t.rejection = own
	if t.anonymous {
		t.rejection = anonymous
	}
	t.mu.Unlock()
	t.awaitResume()
	_, err := io.WriteString(c, own)
	return err == nil
}

// repeatRejection writes the latest rejection.
func (t *SiteTarget) repeatRejection(c net.Conn) bool {
	t.mu.Lock()
	text := t.rejection
	t.mu.Unlock()
	_, err := io.WriteString(c, text)
	return err == nil
}

// respond sends the response to a request that was run, and reports whether the
// connection can be reused.
func (t *SiteTarget) respond(c net.Conn, mode SiteMode, run SiteRun) bool {
	head := "Baobabdyke-Request-Id: " + run.ID + "\r\nBaobabdyke-Response-Seal: seal-" + t.ID + "\r\n"
	raw := head + t.extraHeader()
	text := "answer of " + t.ID + " to " + run.ID
	t.awaitResume()
	switch mode {
	case SiteError:
		return t.write(c, "500 Internal Server Error", head, "failed")
	case SiteUnavailable:
		return t.write(c, "503 Service Unavailable", head, "failed")
	case SiteReset:
		return false
	case SiteHang:
		_, _ = io.Copy(io.Discard, c)
		return false
	case SiteTruncated:
		if strings.HasPrefix(run.Path, "/stream/") {
			t.stream(c, raw, run, 2)
			return false
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", raw, len(text)+10, text)
		return false
	case SiteHeaderOnly:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", raw)
		return false
	case SiteUnframed:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", raw, text)
		return false
	case SiteUnsealed:
		return t.write(c, "200 OK", "Baobabdyke-Request-Id: "+run.ID+"\r\n", text)
	case SiteEncoded:
		return t.write(c, "200 OK", head+"Content-Encoding: gzip\r\n", text)
	case SiteMalformed:
		_, _ = io.WriteString(c, "\x00\x01 no answer\r\n\r\n")
		return false
	case SiteStrayResponse:
		t.write(c, "200 OK", "Baobabdyke-Request-Id: another\r\nBaobabdyke-Response-Seal: s\r\n", "of another")
	case SiteRepeatBefore:
		t.repeatRejection(c)
	case SiteRepeatTwice:
		for range 2 {
			t.repeatRejection(c)
		}
	case SiteRepeatAfter:
		defer t.repeatRejection(c)
	}
	if strings.HasPrefix(run.Path, "/stream/") {
		return t.stream(c, raw, run, t.eventCount)
	}
	ok := t.write(c, "200 OK", head, text)
	if mode == SiteExtraResponse {
		return t.write(c, "200 OK", head, "a second answer")
	}
	return ok
}

// stream sends the events up to lastEvent with chunked encoding. It completes
// the response only if all events were sent.
func (t *SiteTarget) stream(c net.Conn, head string, run SiteRun, lastEvent int) bool {
	t.mu.Lock()
	eventInterval, version := t.eventInterval, t.version
	t.mu.Unlock()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nBaobabdyke-Weight-Versions: %d\r\nTransfer-Encoding: chunked\r\n\r\n", head, version)
	from, _ := strconv.Atoi(run.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= lastEvent; i++ {
		t.awaitResume()
		e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		time.Sleep(eventInterval)
	}
	if lastEvent < t.eventCount {
		return false
	}
	t.awaitResume()
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (t *SiteTarget) report(c net.Conn) bool {
	t.mu.Lock()
	body := fmt.Sprintf(`{"stage":"prefill_decode","models":[{"name":"m","version":%d}],"busy":false,"sequence":%d}`, t.version, t.orderCount)
	t.mu.Unlock()
	return write(c, "200 OK", "", body)
}

// order executes an order immediately.
func (t *SiteTarget) order(c net.Conn, r *http.Request) bool {
	var o struct {
		Version        int64 `json:"version"`
		ExpectedOrders int64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return write(c, "400 Bad Request", "", "")
	}
	t.mu.Lock()
	accepted := o.ExpectedOrders == t.orderCount
	if accepted {
		t.orderCount++
		t.version = o.Version
	}
	t.mu.Unlock()
	if !accepted {
		return write(c, "409 Conflict", "", "")
	}
	return write(c, "202 Accepted", "", "")
}

// extraHeader returns the encoded headers that SetHeader has set.
func (t *SiteTarget) extraHeader() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	_ = t.header.Write(&b)
	return b.String()
}

// write writes a response to a caller's request.
func (t *SiteTarget) write(c io.Writer, status, head, body string) bool {
	return write(c, status, head+t.extraHeader(), body)
}

func write(c io.Writer, status, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err == nil
}
