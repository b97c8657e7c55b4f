package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// transferFloor is the time to compute below which no KV cache is asked.
	transferFloor = 50 * time.Millisecond
	// askTimeout bounds the question to a KV cache.
	askTimeout = 20 * time.Millisecond
	// pieceTime is the assumed time to transfer one piece before any was.
	pieceTime = 5 * time.Millisecond
	// pieceWeight is the weight of the newest transfer in the mean time.
	pieceWeight = 0.2
	// transferLimit bounds one transfer. It is below sendLimit.
	transferLimit = 300 * time.Millisecond
	// restTime is how long a KV cache that failed is not asked.
	restTime = 5 * time.Second
)

// transfers remembers how fast and how well KV caches work.
type transfers struct {
	mu    sync.Mutex
	piece map[string]time.Duration
	rest  map[string]time.Time
}

func newTransfers() *transfers {
	return &transfers{piece: map[string]time.Duration{}, rest: map[string]time.Time{}}
}

// expected returns the time to transfer n pieces from a cache, and whether it
// may be asked.
func (t *transfers) expected(cache string, n int, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	each, ok := t.piece[cache]
	if !ok {
		each = pieceTime
	}
	return time.Duration(n) * each, now.After(t.rest[cache])
}

// learn records a transfer of n pieces.
func (t *transfers) learn(cache string, n int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	each, ok := t.piece[cache]
	if !ok {
		each = pieceTime
	}
	t.piece[cache] = each + time.Duration(pieceWeight*float64(took/time.Duration(n)-each))
}

// failed lets a cache rest.
func (t *transfers) failed(cache string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rest[cache] = now.Add(restTime)
}

// transfer lets the chosen engine import pieces from a KV cache where that is
// expected to take less time than to compute them. The request runs in any case.
func (r *run) transfer(ctx context.Context, c route.Chosen) {
	reader, ok := r.runner.opts.Client.(target.CacheReader)
	if !ok || c.PrefillTime < transferFloor || r.job.Prompt.PieceTokens == 0 {
		return
	}
	held := min(c.CachedTokens/r.job.Prompt.PieceTokens, len(r.job.Prompt.Keys))
	missing := len(r.job.Prompt.Keys) - held
	if missing == 0 {
		return
	}
	each := c.PrefillTime / time.Duration(missing)
	for _, address := range r.caches() {
		if r.transferFrom(ctx, reader, c, address, held, each) {
			return
		}
	}
}

// caches returns the addresses of the configured KV caches.
func (r *run) caches() []string {
	if r.runner.opts.Config == nil {
		return nil
	}
	var list []string
	for i, targets := 0, r.runner.opts.Config().Targets; i < len(targets); i++ {
		if targets[i].Kind == config.TargetCache {
			list = append(list, targets[i].Address)
		}
	}
	return list
}

// transferFrom tries one KV cache, and tells whether the engine imported from
// it.
func (r *run) transferFrom(
	ctx context.Context, reader target.CacheReader, c route.Chosen, cache string, held int, each time.Duration,
) bool {
	known := r.runner.transfers
	if _, ok := known.expected(cache, 0, r.now()); !ok {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	pieces := r.pieces()
	n, err := reader.Cached(limited, cache, pieces)
	if err != nil {
		known.failed(cache, r.now())
		return false
	}
	piece, _ := known.expected(cache, 1, r.now())
	n = min(n, held+int(transferLimit/max(1, piece)))
	if n <= held || piece >= each {
		return false
	}
	begun := r.now()
	limited, cancel = context.WithTimeout(ctx, min(transferLimit, time.Duration(n-held)*each))
	defer cancel()
	if err := r.runner.opts.Client.Transfer(limited, c.Target.Address, cache, pieces[held:n]); err != nil {
		known.failed(cache, r.now())
		return false
	}
	known.learn(cache, n-held, r.now().Sub(begun))
	return true
}
