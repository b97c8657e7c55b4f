package fake

import (
	"encoding/json"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

// work runs u: it waits for a slot, computes the missing part of the prompt,
// and publishes the tokens of the answer.
func (e *Engine) work(u *run, slots, compute *gate) {
	defer e.finish(u)
	if !slots.enter(u.ctx, u.priority) {
		return
	}
	defer slots.leave()
	e.change(u, func() { e.running++ })
	defer e.change(u, func() { e.running-- })
	if !e.prefill(u, compute) {
		return
	}
	for i, token := range u.tokens {
		if i > 0 && !store.Sleep(u.ctx, e.tokenInterval()) {
			return
		}
		e.change(u, func() { u.publish(chunk(u.id, u.model, token)) })
	}
	e.change(u, func() {
		u.publish("[DONE]")
		u.done = true
	})
}

// change runs f under mu unless the incarnation of u has ended.
func (e *Engine) change(u *run, f func()) {
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

// prefill computes what the cache lacks, one prompt at a time, and caches it.
func (e *Engine) prefill(u *run, compute *gate) bool {
	e.change(u, func() {
		u.missing = u.prompt - e.cache.leading(u.pieces, u.salt)*e.opts.PieceTokens
		e.pending += u.missing
	})
	if !compute.enter(u.ctx, u.priority) {
		e.change(u, func() { e.pending -= u.missing })
		return false
	}
	defer compute.leave()
	var cost time.Duration
	e.change(u, func() {
		missing := u.prompt - e.cache.leading(u.pieces, u.salt)*e.opts.PieceTokens
		e.pending += missing - u.missing
		u.missing = missing
		e.usage.PromptTokens += u.prompt
		e.usage.ComputedTokens += u.missing
		e.usage.SaltMismatches += e.cache.clashes(u.pieces, u.salt)
		cost = time.Duration(float64(u.missing) / e.opts.PrefillRate * float64(time.Second))
	})
	alive := store.Sleep(u.ctx, cost)
	e.change(u, func() {
		e.pending -= u.missing
		if alive {
			e.store(u.pieces, u.salt)
		}
	})
	if alive && e.opts.KVCacheAddress != "" {
		go e.export(u.ctx, e.opts.KVCacheAddress, u.salt, u.pieces)
	}
	return alive
}

// store caches pieces and records the events. The caller holds mu.
func (e *Engine) store(pieces []uint64, salt string) {
	stored, evicted := e.cache.add(pieces, salt)
	if len(stored) > 0 {
		e.record(target.EventStored, stored)
	}
	if len(evicted) > 0 {
		e.evicted += len(evicted)
		e.record(target.EventEvicted, evicted)
	}
}

// finish keeps a run for a while so that it can be resumed.
func (e *Engine) finish(u *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[u.id] != u {
		return
	}
	if !u.done {
		delete(e.runs, u.id)
	}
	close(u.more)
	u.more = make(chan struct{})
	e.finished = append(e.finished, u.id)
	if len(e.finished) > finishedLimit {
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
