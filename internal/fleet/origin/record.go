package origin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

// A record is the value of an object: of one of a recorder's pages, or of a service's versions.
type record struct {
	// Streams holds, by version, the keys of streams, keyBytes each.
	Streams map[string][]byte `json:"streams,omitempty"`
	// Service is the name of a service, and Versions those that it has, or had lately.
	Service  string   `json:"service,omitempty"`
	Versions []string `json:"versions,omitempty"`
}

// learnRecord learns what an object says, and returns the number of streams in it.
func (t *Task) learnRecord(object store.Object, source streamSource) int {
	r, streams, err := decodeRecord(object.Value)
	if err != nil {
		_ = t.opts.Log.Log("msg", "record of streams ignored", "object", object.Key, "err", err)
		return 0
	}
	t.learn(streams, source)
	if object.Key != versionsKey(r.Service) || len(r.Versions) == 0 {
		return len(streams)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions.learn(r.Service, r.Versions, time.Now())
	t.recorded[r.Service] = recorded{r.Versions, object.Version}
	return 0
}

// encode returns the keys of streams by version.
func encode(streams []Stream) map[string][]byte {
	out := map[string][]byte{}
	for _, s := range streams {
		out[s.Version] = binary.BigEndian.AppendUint64(out[s.Version], uint64(s.Key))
	}
	return out
}

// decodeRecord returns a record and the streams in it.
func decodeRecord(value []byte) (r record, out []Stream, err error) {
	if err := json.Unmarshal(value, &r); err != nil {
		return r, nil, err
	}
	for version, keys := range r.Streams {
		if len(keys)%keyBytes != 0 {
			return r, nil, fmt.Errorf("keys of version %q take %d bytes, want a multiple of %d", version, len(keys), keyBytes)
		}
		for key := range slices.Chunk(keys, keyBytes) {
			out = append(out, Stream{Key: Key(binary.BigEndian.Uint64(key)), Version: version})
		}
	}
	return r, out, nil
}

// readRecords reads the records of all VMs, unless they were read just now.
func (t *Task) readRecords(ctx context.Context) error {
	t.readMu.Lock()
	defer t.readMu.Unlock()
	now := time.Now()
	if interval := max(readInterval, time.Duration(float64(t.readTook)/readShare)); !t.readAt.IsZero() && now.Sub(t.readAt) < interval {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	objects, err := t.opts.Store.List(ctx, Kind+"/")
	if err != nil {
		return err
	}
	found := 0
	for _, o := range objects {
		found += t.learnRecord(o, filed)
	}
	t.readAt, t.readTook = now, time.Since(now)
	_ = t.opts.Log.Log("msg", "records of streams read", "objects", len(objects), "streams", found, "took", t.readTook)
	return nil
}
