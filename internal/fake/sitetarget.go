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

// A SiteMode is how a SiteTarget answers.
type SiteMode int

// Modes of a SiteTarget.
const (
	// SiteGood answers as it should.
	SiteNormal SiteMode = iota
	// SiteReject answers that it has not run the request.
	SiteReject
	// SiteError runs the request and answers 500.
	SiteError
	// SiteReset runs the request and breaks off before its answer.
	SiteReset
	// SiteCut breaks off within its answer.
	SiteTruncated
	// SiteUnframed answers without a length, up to the end of the connection.
	SiteUnframed
	// SiteExtra sends a second answer, of another request, after its own.
	SiteExtraResponse
	// SiteStray sends the late answer of another request before its own.
	SiteStrayResponse
	// SiteUnsealed answers without its seal.
	SiteUnsealed
	// SiteSilent runs the request and never answers.
	SiteHang
	// SiteEncoded answers with a body that is not its own.
	SiteEncoded
	// SiteEarly answers before it has read the body, keeps the connection and
	// reads on.
	SiteEarlyResponse
	// SiteJunk answers with bytes that are no answer.
	SiteMalformed
)

// A SiteRun is a request as a SiteTarget saw it.
type SiteRun struct {
	ID     string
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// A SiteTarget is a stand-in of a target on the users' machines. It speaks
// HTTP/1.1 on raw connections, so that it can break the protocol.
type SiteTarget struct {
	ID string

	mu      sync.Mutex
	mode    SiteMode
	modes   []SiteMode
	runs    []SiteRun
	version int64
	orders  int64
	events  int
	pause   time.Duration
	conns   int
}

// NewSiteTarget returns a target that answers as it should, with streams of so
// many events.
func NewSiteTarget(id string, events int) *SiteTarget {
	return &SiteTarget{ID: id, events: events, version: 1}
}

// SetMode replaces how requests are answered.
func (t *SiteTarget) SetMode(m SiteMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode, t.modes = m, nil
}

// Queue sets how the next requests are answered, one after the other.
func (t *SiteTarget) QueueModes(modes ...SiteMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.modes = modes
}

// SetPause sets the time between events.
func (t *SiteTarget) SetEventInterval(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pause = d
}

// Runs returns the requests that were run.
func (t *SiteTarget) Runs() []SiteRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]SiteRun(nil), t.runs...)
}

// Version returns the weights that the target has.
func (t *SiteTarget) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Connections returns how many connections were taken.
func (t *SiteTarget) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns
}

// Serve answers on a listener until it is closed.
func (t *SiteTarget) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns++
		t.mu.Unlock()
		go t.serveConn(c)
	}
}

func (t *SiteTarget) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	read := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(read)
		if err != nil || !t.answer(c, r) {
			return
		}
	}
}

// next returns the mode of the next request.
func (t *SiteTarget) next() SiteMode {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.modes) > 0 {
		m := t.modes[0]
		t.modes = t.modes[1:]
		return m
	}
	return t.mode
}

// answer handles one request and tells whether the connection goes on.
func (t *SiteTarget) answer(c net.Conn, r *http.Request) bool {
	switch r.URL.Path {
	case "/report":
		return t.report(c)
	case "/order":
		return t.order(c, r)
	case "/kv-events":
		return write(c, "200 OK", "", `{"bootEpoch":1,"nextPage":1,"lost":false,"events":[]}`)
	}
	if want := r.Header.Get("Baobabdyke-Expect-Instance"); want != "" && want != t.ID {
		_, _ = io.Copy(io.Discard, r.Body)
		return write(c, "421 Misdirected Request", "Baobabdyke-Instance-Id: "+t.ID+"\r\n", "")
	}
	if want := r.Header.Get("Baobabdyke-Expect-Version"); want != "" && want != strconv.FormatInt(t.Version(), 10) {
		_, _ = io.Copy(io.Discard, r.Body)
		return write(c, "421 Misdirected Request", fmt.Sprintf("Baobabdyke-Weight-Versions: %d\r\n", t.Version()), "")
	}
	mode := t.next()
	if mode == SiteEarlyResponse {
		// Rejected before the body is in; the rest of the body is read as due.
		_ = write(c, "503 Service Unavailable", "Baobabdyke-Not-Executed: 1\r\n", "")
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if mode == SiteReject {
		return write(c, "503 Service Unavailable", "Baobabdyke-Not-Executed: 1\r\n", "")
	}
	run := SiteRun{ID: r.Header.Get("Baobabdyke-Request-Id"), Method: r.Method, Path: r.RequestURI, Header: r.Header, Body: body}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	return t.perform(c, mode, run)
}

// perform answers a request that was run.
func (t *SiteTarget) perform(c net.Conn, mode SiteMode, run SiteRun) bool {
	head := "Baobabdyke-Request-Id: " + run.ID + "\r\nBaobabdyke-Response-Seal: seal-" + t.ID + "\r\n"
	text := "answer of " + t.ID + " to " + run.ID
	switch mode {
	case SiteError:
		return write(c, "500 Internal Server Error", head, "failed")
	case SiteReset:
		return false
	case SiteHang:
		_, _ = io.Copy(io.Discard, c)
		return false
	case SiteTruncated:
		if strings.HasPrefix(run.Path, "/stream/") {
			t.stream(c, head, run, 2)
			return false
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text)+10, text)
		return false
	case SiteUnframed:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, text)
		return false
	case SiteUnsealed:
		return write(c, "200 OK", "Baobabdyke-Request-Id: "+run.ID+"\r\n", text)
	case SiteEncoded:
		return write(c, "200 OK", head+"Content-Encoding: gzip\r\n", text)
	case SiteMalformed:
		_, _ = io.WriteString(c, "\x00\x01 no answer\r\n\r\n")
		return false
	case SiteStrayResponse:
		write(c, "200 OK", "Baobabdyke-Request-Id: another\r\nBaobabdyke-Response-Seal: s\r\n", "of another")
	}
	if strings.HasPrefix(run.Path, "/stream/") {
		return t.stream(c, head, run, t.events)
	}
	ok := write(c, "200 OK", head, text)
	if mode == SiteExtraResponse {
		return write(c, "200 OK", head, "a second answer")
	}
	return ok
}

// stream sends events up to a number, in chunks, and ends the answer only if all
// events were sent.
func (t *SiteTarget) stream(c net.Conn, head string, run SiteRun, upTo int) bool {
	t.mu.Lock()
	pause, version := t.pause, t.version
	t.mu.Unlock()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nBaobabdyke-Weight-Versions: %d\r\nTransfer-Encoding: chunked\r\n\r\n", head, version)
	from, _ := strconv.Atoi(run.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= upTo; i++ {
		e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	if upTo < t.events {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (t *SiteTarget) report(c net.Conn) bool {
	t.mu.Lock()
	body := fmt.Sprintf(`{"stage":"prefill_decode","models":[{"name":"m","version":%d}],"busy":false,"sequence":%d}`, t.version, t.orders)
	t.mu.Unlock()
	return write(c, "200 OK", "", body)
}

// order carries out an order at once.
func (t *SiteTarget) order(c net.Conn, r *http.Request) bool {
	var o struct {
		Version int64 `json:"version"`
		After   int64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return write(c, "400 Bad Request", "", "")
	}
	t.mu.Lock()
	fits := o.After == t.orders
	if fits {
		t.orders++
		t.version = o.Version
	}
	t.mu.Unlock()
	if !fits {
		return write(c, "409 Conflict", "", "")
	}
	return write(c, "202 Accepted", "", "")
}

func write(c net.Conn, status, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err == nil
}
