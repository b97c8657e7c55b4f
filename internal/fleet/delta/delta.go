// Package delta encodes a value relative to one that its receiver already has, so that a
// small change of a large value takes few bytes on a slow link.
package delta

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// MaxBytes is the size of the largest value. Two values of 1 MiB, the most that the
	// platform's store takes, fit.
	MaxBytes = 2 << 20
	// maxWindowBytes is how far back an encoded value may refer at most.
	maxWindowBytes = 2 * MaxBytes
	// baseID identifies the base within an encoded value. There is one at most.
	baseID = 1
)

// Encode returns value encoded relative to base, which may be empty.
func Encode(value, base []byte) ([]byte, error) {
	if len(value) > MaxBytes {
		return nil, fmt.Errorf("value of %d bytes, at most %d are permitted", len(value), MaxBytes)
	}
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window(len(value) + len(base))), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderCRC(true),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(baseID, base))
	}
	w, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(value, nil), nil
}

// window returns the size of the window that spans a value and its base. The memory of the
// encoder grows with it.
func window(size int) int {
	w := zstd.MinWindowSize
	for w < size && w < maxWindowBytes {
		w *= 2
	}
	return w
}

// Decode returns the value that was encoded relative to base.
func Decode(data, base []byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxBytes), zstd.WithDecoderMaxWindow(maxWindowBytes)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(baseID, base))
	}
	r, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	value, err := r.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decode %d bytes: %w", len(data), err)
	}
	return value, nil
}
