package fake

import (
	"container/list"
	"sort"
	"strconv"
	"strings"
)

// A pieceSet is a set of cached pieces with a limited size and LRU eviction.
type pieceSet struct {
	capacity int
	lru      *list.List
	items    map[uint64]*list.Element
}

type pieceItem struct {
	key  uint64
	salt string
}

func newPieceSet(capacity int) *pieceSet {
	return &pieceSet{capacity: capacity, lru: list.New(), items: map[uint64]*list.Element{}}
}

// countPrefix returns the number of leading keys that are stored with the given
// salt, and marks them as recently used.
func (s *pieceSet) countPrefix(keys []uint64, salt string) int {
	for i, key := range keys {
		e, ok := s.items[key]
		if !ok || e.Value.(pieceItem).salt != salt {
			return i
		}
		s.lru.MoveToFront(e)
	}
	return len(keys)
}

// saltMismatches returns the number of keys that are stored with another salt.
func (s *pieceSet) saltMismatches(keys []uint64, salt string) int {
	n := 0
	for _, key := range keys {
		if e, ok := s.items[key]; ok && e.Value.(pieceItem).salt != salt {
			n++
		}
	}
	return n
}

// prefixItems returns the items of the leading keys, up to the first key that is
// missing, and marks them as recently used.
func (s *pieceSet) prefixItems(keys []uint64) []pieceItem {
	var items []pieceItem
	for _, key := range keys {
		e, ok := s.items[key]
		if !ok {
			break
		}
		s.lru.MoveToFront(e)
		items = append(items, e.Value.(pieceItem))
	}
	return items
}

// add inserts keys and returns those that are new and those that were evicted.
// It inserts later pieces of a prompt first, so that they are evicted before
// earlier ones.
func (s *pieceSet) add(keys []uint64, salt string) (stored, evicted []uint64) {
	keys = keys[:min(len(keys), s.capacity)]
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := s.items[keys[i]]; ok {
			e.Value = pieceItem{key: keys[i], salt: salt}
			s.lru.MoveToFront(e)
			continue
		}
		s.items[keys[i]] = s.lru.PushFront(pieceItem{key: keys[i], salt: salt})
		stored = append(stored, keys[i])
	}
	for s.lru.Len() > s.capacity {
		e := s.lru.Back()
		key := e.Value.(pieceItem).key
		s.lru.Remove(e)
		delete(s.items, key)
		evicted = append(evicted, key)
	}
	return stored, evicted
}

func (s *pieceSet) clear() {
	s.lru.Init()
	clear(s.items)
}

func (s *pieceSet) keys() []uint64 {
	keys := make([]uint64, 0, len(s.items))
	for key := range s.items {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// parsePieces parses a comma-separated list of hexadecimal keys.
func parsePieces(s string) ([]uint64, error) {
	if s == "" {
		return nil, nil
	}
	parts := strings.Split(s, ",")
	keys := make([]uint64, len(parts))
	for i, part := range parts {
		key, err := strconv.ParseUint(strings.TrimSpace(part), 16, 64)
		if err != nil {
			return nil, err
		}
		keys[i] = key
	}
	return keys, nil
}

// formatPieces formats keys as a comma-separated list of 16 hexadecimal digits
// each.
func formatPieces(keys []uint64) string {
	parts := make([]string, len(keys))
	for i, key := range keys {
		part := strconv.FormatUint(key, 16)
		parts[i] = strings.Repeat("0", 16-len(part)) + part
	}
	return strings.Join(parts, ",")
}
