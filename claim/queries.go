package claim

// A Dump is the state of a Task for operators. It contains no idempotency keys.
// Dropped counts the operations that were dropped because the backlog was full.
type Dump struct {
	Shards    int   `json:"shards"`
	Open      int   `json:"open"`
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Conflicts int64 `json:"conflicts"`
	Unknown   int64 `json:"unknown"`
	Dropped   int64 `json:"forgotten"`
	Granted   int64 `json:"granted"`
	Repeated  int64 `json:"repeated"`
	Pending   int64 `json:"pending"`
	Mismatch  int64 `json:"mismatch"`
	Failed    int64 `json:"failed"`
}

// Dump returns the state of the task: active shards, open tickets and counters
// since its start.
func (t *Task) Dump() any {
	t.mu.Lock()
	shards, open := len(t.workers), len(t.tickets)
	t.mu.Unlock()
	s := &t.stats
	return Dump{
		Shards:    shards,
		Open:      open,
		Reads:     s.reads.Load(),
		Writes:    s.writes.Load(),
		Conflicts: s.conflicts.Load(),
		Unknown:   s.unknown.Load(),
		Dropped:   s.dropped.Load(),
		Granted:   s.granted.Load(),
		Repeated:  s.repeated.Load(),
		Pending:   s.pending.Load(),
		Mismatch:  s.mismatch.Load(),
		Failed:    s.failed.Load(),
	}
}
