package fake

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/baobabdyke/baobabdyke/target"
)

// finishedLimit is the number of finished runs that can still be resumed.
const finishedLimit = 1024

// maxBody is the largest request that a stand-in reads.
const maxBody = 16 << 20

// AnswerText returns the text with which every Engine answers a request whose
// last message is content, in n tokens. It differs for every content.
func CompletionText(content string, n int) string {
	return strings.Join(answerTokens(content, n), "")
}

func answerTokens(content string, n int) []string {
	sum := sha256.Sum256([]byte(content))
	tag := hex.EncodeToString(sum[:4])
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%s:%d ", tag, i+1)
	}
	return tokens
}

// A run is one request that an engine works on. It goes on without its
// connection until it is cancelled.
type run struct {
	ctx      context.Context
	cancel   context.CancelFunc
	id       string
	model    string
	priority int
	stream   bool
	salt     string
	pieces   []uint64
	prompt   int
	missing  int
	tokens   []string

	// events, done and more are guarded by the engine's mu.
	events []string
	done   bool
	more   chan struct{}
}

// publish adds an event and wakes the readers. The caller holds the engine's mu.
func (u *run) publish(data string) {
	u.events = append(u.events, fmt.Sprintf("id: %d\ndata: %s\n\n", len(u.events)+1, data))
	close(u.more)
	u.more = make(chan struct{})
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(target.HeaderNotRun, "true")
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{Error: reason})
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	e.see(r, body)
	if err != nil {
		refuse(w, http.StatusBadRequest, "body cut off")
		return
	}
	resume, _ := strconv.ParseInt(r.Header.Get(target.HeaderResumeFrom), 10, 64)
	e.mu.Lock()
	status, reason := e.check(r, resume)
	var u *run
	if status == 0 && resume > 0 {
		u = e.runs[r.Header.Get(target.HeaderRequestID)]
	}
	if status == 0 && resume == 0 {
		u, err = e.begin(r, body)
	}
	s := e.scope()
	e.mu.Unlock()
	switch {
	case status != 0:
		refuse(w, status, reason)
	case err != nil:
		refuse(w, http.StatusBadRequest, err.Error())
	case u == nil:
		refuse(w, http.StatusConflict, "no run to resume")
	case u.stream:
		e.relay(w, r, u, max(resume, 1), s)
	default:
		e.answer(w, r, u, s)
	}
}

// check tells with which status a request is refused, or zero. The caller
// holds mu.
func (e *Engine) check(r *http.Request, resume int64) (status int, reason string) {
	incarnation := r.Header.Get(target.HeaderIncarnation)
	weights := r.Header.Get(target.HeaderWeights)
	switch {
	case incarnation != "" && incarnation != e.incarnation():
		return http.StatusConflict, "another incarnation"
	case resume > 0:
		return 0, ""
	case weights != "" && weights != e.weights:
		return http.StatusConflict, "other weights"
	case e.faults.leaving:
		return http.StatusServiceUnavailable, "leaving"
	case e.slots.waitingCount() >= e.opts.QueueLimit:
		return http.StatusServiceUnavailable, "full"
	default:
		return 0, ""
	}
}

// A completion is what an engine reads of a request.
type completion struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Max      int    `json:"max_tokens"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// begin starts a run. The caller holds mu.
func (e *Engine) begin(r *http.Request, body []byte) (*run, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	pieces, err := parsePieces(r.Header.Get(target.HeaderPieces))
	if err != nil {
		return nil, err
	}
	content := ""
	if len(c.Messages) > 0 {
		content = c.Messages[len(c.Messages)-1].Content
	}
	n := c.Max
	if n <= 0 {
		n = e.opts.DefaultMaxTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get(target.HeaderPriority))
	u := &run{
		id:       r.Header.Get(target.HeaderRequestID),
		model:    c.Model,
		priority: priority,
		stream:   c.Stream,
		salt:     r.Header.Get(target.HeaderSalt),
		pieces:   pieces,
		prompt:   max(len(body)/bytesPerToken, len(pieces)*e.opts.PieceTokens),
		tokens:   answerTokens(content, n),
		more:     make(chan struct{}),
	}
	u.ctx, u.cancel = context.WithCancel(e.life)
	e.runs[u.id] = u
	e.ran(r)
	go e.work(u, e.slots, e.compute)
	return u, nil
}

// serveCancel ends a run.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if u, ok := e.runs[r.URL.Query().Get("id")]; ok {
		u.cancel()
	}
	w.WriteHeader(http.StatusOK)
}
