package fake

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/baobabdyke/baobabdyke/target"
)

// streamEvents sends the events of a run, starting at offset, as they are
// appended, and pings while there are none.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request, u *run, offset int64, s scope) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(target.HeaderRequestID, u.id)
	w.WriteHeader(http.StatusOK)
	flush(w)
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		e.mu.Lock()
		events, updated, done := u.events, u.updated, u.done
		e.mu.Unlock()
		for ; offset <= int64(len(events)); offset++ {
			if s.stallCtx.Err() != nil {
				s.holdOpen(r.Context())
			}
			_, _ = io.WriteString(w, events[offset-1])
			flush(w)
			e.injectFault(r.Context(), offset, s)
		}
		if done {
			return
		}
		select {
		case <-s.crashCtx.Done():
			abort()
		case <-u.ctx.Done():
			abort()
		case <-r.Context().Done():
			return
		case <-s.stallCtx.Done():
			s.holdOpen(r.Context())
		case <-ping.C:
			_, _ = io.WriteString(w, ": ping\n\n")
			flush(w)
		case <-updated:
		}
	}
}

// injectFault truncates or stalls the stream if that is set for the event with
// the given offset.
func (e *Engine) injectFault(ctx context.Context, offset int64, s scope) {
	e.mu.Lock()
	truncate, stall := e.faults.truncateAfter == offset, e.faults.stallAfter == offset
	if truncate {
		e.faults.truncateAfter = 0
	}
	if stall {
		e.faults.stallAfter = 0
	}
	e.mu.Unlock()
	if truncate {
		abort()
	}
	if stall {
		s.holdOpen(ctx)
	}
}

// sendCompletion waits for the end of a run and sends its completion as a single
// response.
func (e *Engine) sendCompletion(w http.ResponseWriter, r *http.Request, u *run, s scope) {
	for {
		e.mu.Lock()
		updated, done := u.updated, u.done
		e.mu.Unlock()
		if done {
			break
		}
		select {
		case <-s.crashCtx.Done():
			abort()
		case <-u.ctx.Done():
			abort()
		case <-r.Context().Done():
			return
		case <-s.stallCtx.Done():
			s.holdOpen(r.Context())
		case <-updated:
		}
	}
	e.mu.Lock()
	promptTokens := u.promptTokens
	e.mu.Unlock()
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index   int     `json:"index"`
		Message message `json:"message"`
		Reason  string  `json:"finish_reason"`
	}
	type usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}
	w.Header().Set(target.HeaderRequestID, u.id)
	writeJSON(w, http.StatusOK, struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{
		ID: u.id, Object: "chat.completion", Model: u.model,
		Choices: []choice{{Message: message{Role: "assistant", Content: strings.Join(u.tokens, "")}, Reason: "stop"}},
		Usage:   usage{Prompt: promptTokens, Completion: len(u.tokens), Total: promptTokens + len(u.tokens)},
	})
}
