// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package publisher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrStalled reports that a response made no progress in time.
var ErrStalled = errors.New("publisher: response stalled")

// ReadTimeouts bounds the wait for a response by its progress rather than by a single total time. A
// value of 1 MB takes longer on a slow link than a small one, and a transfer that makes
// progress must not be discarded.
type ReadTimeouts struct {
	// First bounds the time until the first byte of the body, Stall the time without further
	// bytes after that, and Whole the total time.
	First time.Duration
	Stall time.Duration
	Whole time.Duration
}

// Do sends r and calls handle with the response. Reads of its body fail with ErrStalled once the
// response exceeds First or Stall.
func (p ReadTimeouts) Do(client *http.Client, r *http.Request, handle func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(r.Context(), p.Whole)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	timer := time.AfterFunc(p.First, func() { abort(ErrStalled) })
	defer timer.Stop()
	response, err := client.Do(r.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("publisher: %w", contextCause(ctx, err))
	}
	defer func() { _ = response.Body.Close() }()
	response.Body = &progressBody{ReadCloser: response.Body, onProgress: func() { timer.Reset(p.Stall) }}
	if err := handle(response); err != nil {
		return contextCause(ctx, err)
	}
	return nil
}

// contextCause returns the cause if ctx has ended, and err otherwise.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// progressBody calls onProgress after each read that returns bytes.
type progressBody struct {
	io.ReadCloser
	onProgress func()
}

// Read reads from the body.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.onProgress()
	}
	return n, err
}
