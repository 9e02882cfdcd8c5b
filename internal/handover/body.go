// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package handover

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
)

// States of a gatedBody.
const (
	gateClosed int32 = iota
	gateOpen
	gateAbandoned
)

// gatedBody is a request body that is sent only once the other host has asked for it. It cannot be
// read again, so that no transport repeats the call.
type gatedBody struct {
	ctx    context.Context
	opened chan struct{}
	state  atomic.Int32
	reader io.Reader
	// left is the number of bytes that were not handed to the transport yet.
	left atomic.Int64
}

func newGatedBody(ctx context.Context, head, content []byte) *gatedBody {
	b := &gatedBody{ctx: ctx, opened: make(chan struct{}), reader: io.MultiReader(bytes.NewReader(head), bytes.NewReader(content))}
	b.left.Store(int64(len(head) + len(content)))
	return b
}

// open lets the body be sent, unless it was abandoned.
func (b *gatedBody) open() {
	if b.state.CompareAndSwap(gateClosed, gateOpen) {
		close(b.opened)
	}
}

// abandon keeps the body from being sent, and reports false if it may be already.
func (b *gatedBody) abandon() bool {
	return b.state.CompareAndSwap(gateClosed, gateAbandoned)
}

// isSent reports whether the other host may have received the whole body.
func (b *gatedBody) isSent() bool {
	return b.left.Load() == 0
}

// Read waits until the body may be sent.
func (b *gatedBody) Read(buffer []byte) (int, error) {
	select {
	case <-b.opened:
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
	n, err := b.reader.Read(buffer)
	b.left.Add(-int64(n))
	return n, err
}

// Close does nothing.
func (b *gatedBody) Close() error { return nil }
