package fake

import (
	"container/list"
	"sort"
	"strconv"
	"strings"
)

// A pieceSet is a limited set of cached pieces that evicts the least recently
// used.
type pieceSet struct {
	limit int
	order *list.List
	items map[uint64]*list.Element
}

type pieceItem struct {
	key  uint64
	salt string
}

func newPieceSet(limit int) *pieceSet {
	return &pieceSet{limit: limit, order: list.New(), items: map[uint64]*list.Element{}}
}

// leading returns how many of the first keys are held under the salt, and marks
// them as used.
func (s *pieceSet) leading(keys []uint64, salt string) int {
	for i, key := range keys {
		e, ok := s.items[key]
		if !ok || e.Value.(pieceItem).salt != salt {
			return i
		}
		s.order.MoveToFront(e)
	}
	return len(keys)
}

// clashes returns how many keys are held under another salt.
func (s *pieceSet) clashes(keys []uint64, salt string) int {
	n := 0
	for _, key := range keys {
		if e, ok := s.items[key]; ok && e.Value.(pieceItem).salt != salt {
			n++
		}
	}
	return n
}

// held returns the first keys up to the one that is missing, with their salts.
func (s *pieceSet) held(keys []uint64) []pieceItem {
	var items []pieceItem
	for _, key := range keys {
		e, ok := s.items[key]
		if !ok {
			break
		}
		s.order.MoveToFront(e)
		items = append(items, e.Value.(pieceItem))
	}
	return items
}

// add inserts keys and returns those that are new and those that were evicted.
// Later pieces of a prompt are evicted before earlier ones.
func (s *pieceSet) add(keys []uint64, salt string) (stored, evicted []uint64) {
	keys = keys[:min(len(keys), s.limit)]
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := s.items[keys[i]]; ok {
			e.Value = pieceItem{key: keys[i], salt: salt}
			s.order.MoveToFront(e)
			continue
		}
		s.items[keys[i]] = s.order.PushFront(pieceItem{key: keys[i], salt: salt})
		stored = append(stored, keys[i])
	}
	for s.order.Len() > s.limit {
		e := s.order.Back()
		key := e.Value.(pieceItem).key
		s.order.Remove(e)
		delete(s.items, key)
		evicted = append(evicted, key)
	}
	return stored, evicted
}

func (s *pieceSet) clear() {
	s.order.Init()
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

// parsePieces reads keys of 16 hexadecimal digits, separated by commas.
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

// formatPieces writes keys as parsePieces reads them.
func formatPieces(keys []uint64) string {
	parts := make([]string, len(keys))
	for i, key := range keys {
		part := strconv.FormatUint(key, 16)
		parts[i] = strings.Repeat("0", 16-len(part)) + part
	}
	return strings.Join(parts, ",")
}
