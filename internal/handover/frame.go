// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// frameKind is the kind of a frame.
type frameKind byte

const (
	// frameProgress has the number of runs so far. It also shows that the connection works.
	frameProgress frameKind = 'p'
	// frameHead and frameData are the head of an answer and a part of its body.
	frameHead frameKind = 'h'
	frameData frameKind = 'd'
	// frameEnd ends a complete answer, frameCut one that was cut off.
	frameEnd frameKind = 'e'
	frameCut frameKind = 'c'
	// frameVerdict is the error of a request without an answer.
	frameVerdict frameKind = 'v'
)

const (
	// frameHeaderSize is the size of the kind and the length before each payload.
	frameHeaderSize = 5
	// maxDataBytes limits the payload of a data frame, maxControlBytes that of any other.
	maxDataBytes    = 256 << 10
	maxControlBytes = 1 << 20
)

// errBroken means that the connection between two hosts failed, or that the other host broke the
// protocol.
var errBroken = errors.New("handover: no complete answer from the other host")

// frame is a part of an answer between two hosts.
type frame struct {
	kind    frameKind
	payload []byte
}

// appendTo appends the wire form of f.
func (f frame) appendTo(buffer []byte) []byte {
	buffer = append(buffer, byte(f.kind))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(f.payload)))
	return append(buffer, f.payload...)
}

// controlFrame returns a frame whose payload is the JSON form of value.
func controlFrame(kind frameKind, value any) (frame, error) {
	payload, err := json.Marshal(value)
	if err != nil {
		return frame{}, err
	}
	if len(payload) > maxControlBytes {
		return frame{}, fmt.Errorf("handover: frame %q of %d bytes exceeds %d", byte(kind), len(payload), maxControlBytes)
	}
	return frame{kind: kind, payload: payload}, nil
}

// frameReader reads the frames of one answer and checks their order: a verdict, or a head, data
// and an end or a cut, with progress in between.
type frameReader struct {
	reader io.Reader
	// started reports whether the head was read, ended whether the last frame was.
	started bool
	ended   bool
}

// next returns the next frame. An error other than io.EOF after the last frame means that the answer
// is incomplete.
func (r *frameReader) next() (frame, error) {
	if r.ended {
		return frame{}, io.EOF
	}
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r.reader, header[:]); err != nil {
		return frame{}, fmt.Errorf("%w: %w", errBroken, unexpected(err))
	}
	f := frame{kind: frameKind(header[0])}
	length := binary.BigEndian.Uint32(header[1:])
	if err := r.check(f.kind, length); err != nil {
		return frame{}, err
	}
	f.payload = make([]byte, length)
	if _, err := io.ReadFull(r.reader, f.payload); err != nil {
		return frame{}, fmt.Errorf("%w: %w", errBroken, unexpected(err))
	}
	return f, nil
}

// check checks that a frame may come next, and records it.
func (r *frameReader) check(kind frameKind, length uint32) error {
	limit, allowed := uint32(maxControlBytes), true
	switch kind {
	case frameProgress:
	case frameHead:
		allowed = !r.started
		r.started = true
	case frameData:
		limit, allowed = maxDataBytes, r.started
	case frameEnd, frameCut:
		limit, allowed = 0, r.started
		r.ended = true
	case frameVerdict:
		allowed = !r.started
		r.ended = true
	default:
		allowed = false
	}
	if !allowed || length > limit {
		return fmt.Errorf("%w: unexpected frame %q of %d bytes", errBroken, byte(kind), length)
	}
	return nil
}

// unexpected returns err, with an end of the connection as an error: frames end by themselves.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
