// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package delta

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

const (
	// minWindow and maxWindow bound the window of the compression, in bytes. The window
	// must hold both values, or their common parts are not found. The largest holds two
	// values of the maximum size of 1 MB.
	minWindow = 1 << 12
	maxWindow = 4 << 20
	// dictionaryID is the ID of the dictionary, the earlier value, in the encoded form.
	dictionaryID = 1
)

// ErrTooLarge is returned by Decode if the value is longer than the limit.
var ErrTooLarge = errors.New("delta: value too large")

// Encode returns value encoded as the difference from base, which may be empty.
func Encode(base, value []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		// The fastest level finds few matches in a base of 1 MB without repetitions: it
		// encodes a change of 7 bytes in 148 KB.
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithAllLitEntropyCompression(true),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(base) + len(value))),
		// No checksum is needed, as the digest of an entry covers its value.
		zstd.WithEncoderCRC(false),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: create encoder: %w", err)
	}
	encoded := encoder.EncodeAll(value, nil)
	if err := encoder.Close(); err != nil {
		return nil, fmt.Errorf("delta: close encoder: %w", err)
	}
	return encoded, nil
}

// Decode returns the value that Encode encoded with the same base. It fails with ErrTooLarge
// if the value is longer than limit bytes.
func Decode(base, encoded []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(limit)),
		zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: create decoder: %w", err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(encoded, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	if err != nil {
		return nil, fmt.Errorf("delta: decode: %w", err)
	}
	return value, nil
}

// windowSize returns the smallest power of two that exceeds size, within the bounds of the
// window.
func windowSize(size int) int {
	return min(max(1<<bits.Len(uint(size)), minWindow), maxWindow)
}
