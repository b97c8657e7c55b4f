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
	// minComputeTime is the time to compute the missing pieces below which no KV
	// cache is queried, as the import would save too little.
	minComputeTime = 50 * time.Millisecond
	// lookupTimeout bounds the query to a KV cache for the pieces that it holds.
	lookupTimeout = 20 * time.Millisecond
	// initialPieceTime is the assumed time to transfer one piece before the first
	// transfer from a KV cache.
	initialPieceTime = 5 * time.Millisecond
	// pieceTimeWeight is the weight of the newest transfer in the moving average
	// of the time per piece.
	pieceTimeWeight = 0.2
	// transferTimeout bounds one transfer. It is below maxSendDelay, so that a
	// transfer alone does not make the send late.
	transferTimeout = 300 * time.Millisecond
	// cacheBackoff is how long a KV cache is not queried after a failure.
	cacheBackoff = 5 * time.Second
)

// cacheStats tracks the transfer speed and the failures of KV caches.
type cacheStats struct {
	mu           sync.Mutex
	pieceTime    map[string]time.Duration
	backoffUntil map[string]time.Time
}

func newCacheStats() *cacheStats {
	return &cacheStats{pieceTime: map[string]time.Duration{}, backoffUntil: map[string]time.Time{}}
}

// estimate returns the expected time to transfer n pieces from a cache, and
// whether the cache may be queried.
func (s *cacheStats) estimate(cache string, n int, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	perPiece, ok := s.pieceTime[cache]
	if !ok {
		perPiece = initialPieceTime
	}
	return time.Duration(n) * perPiece, now.After(s.backoffUntil[cache])
}

// record records the duration of a transfer of n pieces.
func (s *cacheStats) record(cache string, n int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	perPiece, ok := s.pieceTime[cache]
	if !ok {
		perPiece = initialPieceTime
	}
	s.pieceTime[cache] = perPiece + time.Duration(pieceTimeWeight*float64(took/time.Duration(n)-perPiece))
}

// recordFailure excludes a cache for the cacheBackoff time.
func (s *cacheStats) recordFailure(cache string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffUntil[cache] = now.Add(cacheBackoff)
}

// transfer makes the chosen engine import prefix pieces from a KV cache if that is
// expected to take less time than computing them. A failure is not an error: the
// engine then computes the pieces itself.
func (r *run) transfer(ctx context.Context, c route.Chosen) {
	reader, ok := r.runner.opts.Client.(target.CacheReader)
	if !ok || c.PrefillTime < minComputeTime || r.job.Prompt.PieceTokens == 0 {
		return
	}
	held := min(c.CachedTokens/r.job.Prompt.PieceTokens, len(r.job.Prompt.Keys))
	missing := len(r.job.Prompt.Keys) - held
	if missing == 0 {
		return
	}
	computeTime := c.PrefillTime / time.Duration(missing)
	for _, address := range r.caches() {
		if r.transferFrom(ctx, reader, c, address, held, computeTime) {
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

// transferFrom tries one KV cache. It reports whether the engine imported pieces
// from it.
func (r *run) transferFrom(
	ctx context.Context, reader target.CacheReader, c route.Chosen, cache string, held int, computeTime time.Duration,
) bool {
	stats := r.runner.cacheStats
	if _, ok := stats.estimate(cache, 0, r.now()); !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	pieces := r.pieceKeys()
	n, err := reader.Cached(callCtx, cache, pieces)
	if err != nil {
		stats.recordFailure(cache, r.now())
		return false
	}
	pieceTime, _ := stats.estimate(cache, 1, r.now())
	n = min(n, held+int(transferTimeout/max(1, pieceTime)))
	if n <= held || pieceTime >= computeTime {
		return false
	}
	start := r.now()
	callCtx, cancel = context.WithTimeout(ctx, min(transferTimeout, time.Duration(n-held)*computeTime))
	defer cancel()
	if err := r.runner.opts.Client.Transfer(callCtx, c.Target.Address, cache, pieces[held:n]); err != nil {
		stats.recordFailure(cache, r.now())
		return false
	}
	stats.record(cache, n-held, r.now().Sub(start))
	return true
}
