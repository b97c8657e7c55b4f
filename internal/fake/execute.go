package fake

import (
	"encoding/json"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

// execute runs u: it waits for a slot, computes the uncached part of the prompt,
// and appends the tokens of the completion as events.
func (e *Engine) execute(u *run, slots, compute *semaphore) {
	defer e.finishRun(u)
	if !slots.acquire(u.ctx, u.priority) {
		return
	}
	defer slots.release()
	e.update(u, func() { e.running++ })
	defer e.update(u, func() { e.running-- })
	if !e.prefill(u, compute) {
		return
	}
	for i, token := range u.tokens {
		if i > 0 && !store.Sleep(u.ctx, e.tokenInterval()) {
			return
		}
		e.update(u, func() { u.appendEvent(chunk(u.id, u.model, token)) })
	}
	e.update(u, func() {
		u.appendEvent("[DONE]")
		u.done = true
	})
}

// update runs f under mu, unless the incarnation of u has ended.
func (e *Engine) update(u *run, f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[u.id] == u || u.ctx.Err() == nil {
		f()
	}
}

func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opts.TokenInterval
}

// prefill computes and caches the uncached part of the prompt, one prompt at a
// time. It reports whether the computation completed.
func (e *Engine) prefill(u *run, compute *semaphore) bool {
	e.update(u, func() {
		u.uncached = u.promptTokens - e.cache.countPrefix(u.pieces, u.salt)*e.opts.PieceTokens
		e.pendingTokens += u.uncached
	})
	if !compute.acquire(u.ctx, u.priority) {
		e.update(u, func() { e.pendingTokens -= u.uncached })
		return false
	}
	defer compute.release()
	var cost time.Duration
	e.update(u, func() {
		uncached := u.promptTokens - e.cache.countPrefix(u.pieces, u.salt)*e.opts.PieceTokens
		e.pendingTokens += uncached - u.uncached
		u.uncached = uncached
		e.usage.PromptTokens += u.promptTokens
		e.usage.ComputedTokens += u.uncached
		e.usage.SaltMismatches += e.cache.saltMismatches(u.pieces, u.salt)
		cost = time.Duration(float64(u.uncached) / e.opts.PrefillRate * float64(time.Second))
	})
	completed := store.Sleep(u.ctx, cost)
	e.update(u, func() {
		e.pendingTokens -= u.uncached
		if completed {
			e.storePieces(u.pieces, u.salt)
		}
	})
	if completed && e.opts.KVCacheAddress != "" {
		go e.export(u.ctx, e.opts.KVCacheAddress, u.salt, u.pieces)
	}
	return completed
}

// storePieces caches pieces and records the events. The caller holds mu.
func (e *Engine) storePieces(pieces []uint64, salt string) {
	stored, evicted := e.cache.add(pieces, salt)
	if len(stored) > 0 {
		e.recordEvent(target.EventStored, stored)
	}
	if len(evicted) > 0 {
		e.evicted += len(evicted)
		e.recordEvent(target.EventEvicted, evicted)
	}
}

// finishRun keeps a completed run, so that its stream can be resumed, and
// removes the oldest one beyond maxFinishedRuns. An aborted run is removed at
// once.
func (e *Engine) finishRun(u *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[u.id] != u {
		return
	}
	if !u.done {
		delete(e.runs, u.id)
	}
	close(u.updated)
	u.updated = make(chan struct{})
	e.finished = append(e.finished, u.id)
	if len(e.finished) > maxFinishedRuns {
		delete(e.runs, e.finished[0])
		e.finished = e.finished[1:]
	}
}

// chunk returns one event of a streamed chat completion.
func chunk(id, model, content string) string {
	type delta struct {
		Content string `json:"content"`
	}
	type choice struct {
		Index int   `json:"index"`
		Delta delta `json:"delta"`
	}
	data, _ := json.Marshal(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []choice{{Delta: delta{Content: content}}}})
	return string(data)
}
