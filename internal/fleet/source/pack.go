package source

import (
	"encoding/binary"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/delta"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// minPackBytes is the size from which objects are packed. What is smaller takes 26 ms at
	// most on a link of 10 Mbit/s, and packing it takes memory.
	minPackBytes = 32 << 10
	// maxBases is the number of earlier configurations that are kept to encode newer ones
	// relative to them. A VM is rarely more than a few versions behind.
	maxBases = 4
	// maxPacks is the number of encoded responses that are kept, for the VMs that are behind
	// by the same versions.
	maxPacks = 8
)

// contents are the objects of a PullResponse.
type contents struct {
	Objects []store.Object `cbor:"1,keyasint"`
	Newest  *store.Object  `cbor:"2,keyasint,omitempty"`
}

// A packer encodes the objects of responses relative to the configuration that their
// receiver has. It is safe for concurrent use.
type packer struct {
	// mu is held while objects are encoded, so that VMs that ask for the same at the same
	// time share the result.
	mu    sync.Mutex
	packs map[uint64][]byte
	order []uint64
}

// pack replaces the objects of a response by their encoding, if that is smaller. The base is
// the configuration that the receiver has; its value may be empty.
func (p *packer) pack(r *PullResponse, base store.Object) {
	size := objectBytes(r.Objects)
	if r.Newest != nil {
		size += len(r.Newest.Value)
	}
	if size < minPackBytes {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.contentHash(base)
	data, known := p.packs[key]
	if !known {
		data = encodeContents(contents{Objects: r.Objects, Newest: r.Newest}, base.Value)
		p.add(key, data)
	}
	if len(data) == 0 || len(data) >= size {
		return
	}
	r.Objects, r.Newest, r.Packed, r.Base = nil, nil, data, base.Version
}

// record keeps the encoding that another VM has sent to this one, for VMs that ask it for the
// same objects.
func (p *packer) record(r *PullResponse, base store.Object) {
	if len(r.Packed) == 0 {
		return
	}
	if r.Base == 0 {
		base = store.Object{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if key := r.contentHash(base); p.packs[key] == nil {
		p.add(key, r.Packed)
	}
}

// add keeps an encoding in place of the oldest one. The caller holds mu.
func (p *packer) add(key uint64, data []byte) {
	if p.packs == nil {
		p.packs = map[uint64][]byte{}
	}
	if len(p.order) >= maxPacks {
		delete(p.packs, p.order[0])
		p.order = p.order[1:]
	}
	p.packs[key] = data
	p.order = append(p.order, key)
}

// encodeContents returns nil if the objects are too large to be encoded.
func encodeContents(c contents, base []byte) []byte {
	plain, err := cbor.Marshal(c)
	if err != nil {
		return nil
	}
	data, err := delta.Encode(plain, base)
	if err != nil {
		return nil
	}
	return data
}

// contentHash identifies the objects of a response and the base for them.
func (r *PullResponse) contentHash(base store.Object) uint64 {
	h := xxhash.New()
	add := func(o store.Object) {
		_, _ = h.WriteString(o.Key)
		_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(o.Version)))
	}
	add(base)
	for _, o := range r.Objects {
		add(o)
	}
	if r.Newest != nil {
		add(*r.Newest)
	}
	return h.Sum64()
}

// unpack decodes the objects of a response to a VM whose configuration is base.
func (r *PullResponse) unpack(base store.Object) error {
	if len(r.Packed) == 0 {
		return nil
	}
	var value []byte
	switch r.Base {
	case 0:
	case base.Version:
		value = base.Value
	default:
		return fmt.Errorf("objects are encoded relative to version %d, this VM has %d", r.Base, base.Version)
	}
	plain, err := delta.Decode(r.Packed, value)
	if err != nil {
		return err
	}
	var c contents
	if err := cbor.Unmarshal(plain, &c); err != nil {
		return fmt.Errorf("decode objects of %d bytes: %w", len(plain), err)
	}
	r.Objects, r.Newest = c.Objects, c.Newest
	return nil
}

// recordBase keeps a configuration that was replaced. The caller holds mu.
func (s *Source) recordBase(o store.Object) {
	if o.Version == 0 {
		return
	}
	s.bases = append(s.bases, o)
	if len(s.bases) > maxBases {
		s.bases = s.bases[1:]
	}
}

// base returns the configuration of a version, or none if it isn't known any more. The caller
// holds mu.
func (s *Source) base(version int64) store.Object {
	if s.newest.object.Version == version {
		return s.newest.object
	}
	for _, o := range s.bases {
		if o.Version == version {
			return o
		}
	}
	return store.Object{}
}
