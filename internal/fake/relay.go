package fake

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/baobabdyke/baobabdyke/target"
)

// relay sends the events of a run from offset on as they come, and pings while
// there are none.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, u *run, offset int64, s scope) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(target.HeaderRequestID, u.id)
	w.WriteHeader(http.StatusOK)
	flush(w)
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		e.mu.Lock()
		ready, more, done := u.events, u.more, u.done
		e.mu.Unlock()
		for ; offset <= int64(len(ready)); offset++ {
			if s.feeds.Err() != nil {
				s.holdOpen(r.Context())
			}
			_, _ = io.WriteString(w, ready[offset-1])
			flush(w)
			e.failAfter(r.Context(), offset, s)
		}
		if done {
			return
		}
		select {
		case <-s.life.Done():
			abort()
		case <-u.ctx.Done():
			abort()
		case <-r.Context().Done():
			return
		case <-s.feeds.Done():
			s.holdOpen(r.Context())
		case <-ping.C:
			_, _ = io.WriteString(w, ": ping\n\n")
			flush(w)
		case <-more:
		}
	}
}

// failAfter shows the failure that was asked for behind the given offset.
func (e *Engine) failAfter(ctx context.Context, offset int64, s scope) {
	e.mu.Lock()
	cut, mute := e.faults.cutAfter == offset, e.faults.muteAfter == offset
	if cut {
		e.faults.cutAfter = 0
	}
	if mute {
		e.faults.muteAfter = 0
	}
	e.mu.Unlock()
	if cut {
		abort()
	}
	if mute {
		s.holdOpen(ctx)
	}
}

// answer sends the whole answer of a run at its end.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, u *run, s scope) {
	for {
		e.mu.Lock()
		more, done := u.more, u.done
		e.mu.Unlock()
		if done {
			break
		}
		select {
		case <-s.life.Done():
			abort()
		case <-u.ctx.Done():
			abort()
		case <-r.Context().Done():
			return
		case <-s.feeds.Done():
			s.holdOpen(r.Context())
		case <-more:
		}
	}
	e.mu.Lock()
	prompt := u.prompt
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
		Usage:   usage{Prompt: prompt, Completion: len(u.tokens), Total: prompt + len(u.tokens)},
	})
}
