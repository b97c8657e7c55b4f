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

// maxFinishedRuns is the number of finished runs that are kept, so that their
// streams can be resumed.
const maxFinishedRuns = 1024

// maxBodyBytes is the number of bytes of a request body that a stand-in reads.
const maxBodyBytes = 16 << 20

// CompletionText returns the completion, of n tokens, that every Engine generates
// for a request whose last message is content. It starts each token with a hash
// of content, so that a test can tell the completions of requests apart.
func CompletionText(content string, n int) string {
	return strings.Join(completionTokens(content, n), "")
}

func completionTokens(content string, n int) []string {
	sum := sha256.Sum256([]byte(content))
	tag := hex.EncodeToString(sum[:4])
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%s:%d ", tag, i+1)
	}
	return tokens
}

// A run is the execution of one request by an engine. It continues after its
// client disconnects, until it is cancelled.
type run struct {
	ctx          context.Context
	cancel       context.CancelFunc
	id           string
	model        string
	priority     int
	stream       bool
	salt         string
	pieces       []uint64
	promptTokens int
	uncached     int
	tokens       []string

	// events, done and updated are guarded by the engine's mu. updated is closed
	// and replaced when an event is appended or the run ends.
	events  []string
	done    bool
	updated chan struct{}
}

// appendEvent adds an event and notifies the readers. The caller holds the
// engine's mu.
func (u *run) appendEvent(data string) {
	u.events = append(u.events, fmt.Sprintf("id: %d\ndata: %s\n\n", len(u.events)+1, data))
	close(u.updated)
	u.updated = make(chan struct{})
}

// refuse responds that the request was not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(target.HeaderNotRun, "true")
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{Error: reason})
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	e.recordRequest(r, body)
	if err != nil {
		refuse(w, http.StatusBadRequest, "body cut off")
		return
	}
	resumeFrom, _ := strconv.ParseInt(r.Header.Get(target.HeaderResumeFrom), 10, 64)
	e.mu.Lock()
	status, reason := e.checkRequest(r, resumeFrom)
	var u *run
	if status == 0 && resumeFrom > 0 {
		u = e.runs[r.Header.Get(target.HeaderRequestID)]
	}
	if status == 0 && resumeFrom == 0 {
		u, err = e.startRun(r, body)
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
		e.streamEvents(w, r, u, max(resumeFrom, 1), s)
	default:
		e.sendCompletion(w, r, u, s)
	}
}

// checkRequest returns the status and the reason with which a request is
// rejected, or zero if it is accepted. The caller holds mu.
func (e *Engine) checkRequest(r *http.Request, resumeFrom int64) (status int, reason string) {
	incarnation := r.Header.Get(target.HeaderIncarnation)
	weights := r.Header.Get(target.HeaderWeights)
	switch {
	case incarnation != "" && incarnation != e.incarnation():
		return http.StatusConflict, "another incarnation"
	case resumeFrom > 0:
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

// A completionRequest holds the fields that an engine reads from a request body.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// startRun starts a run. The caller holds mu.
func (e *Engine) startRun(r *http.Request, body []byte) (*run, error) {
	var c completionRequest
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
	n := c.MaxTokens
	if n <= 0 {
		n = e.opts.DefaultMaxTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get(target.HeaderPriority))
	u := &run{
		id:           r.Header.Get(target.HeaderRequestID),
		model:        c.Model,
		priority:     priority,
		stream:       c.Stream,
		salt:         r.Header.Get(target.HeaderSalt),
		pieces:       pieces,
		promptTokens: max(len(body)/bytesPerToken, len(pieces)*e.opts.PieceTokens),
		tokens:       completionTokens(content, n),
		updated:      make(chan struct{}),
	}
	u.ctx, u.cancel = context.WithCancel(e.crashCtx)
	e.runs[u.id] = u
	e.recordRun(r)
	go e.execute(u, e.slots, e.compute)
	return u, nil
}

// serveCancel cancels the run with the given request id.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if u, ok := e.runs[r.URL.Query().Get("id")]; ok {
		u.cancel()
	}
	w.WriteHeader(http.StatusOK)
}
