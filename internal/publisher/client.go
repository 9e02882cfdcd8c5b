// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package publisher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/wingvale/wingvale/internal/wire"
)

const (
	// listingLimit bounds a full read of one space.
	listingLimit = 256 << 20
	// WatchFor is how long one watch waits for a change.
	WatchFor    = 25 * time.Second
	readTimeout = 10 * time.Second
	grace       = 5 * time.Second
)

// ErrCompacted says that the service no longer knows the revision to watch
// from, so all keys must be read again.
var ErrCompacted = errors.New("publisher: the revision is too old to watch from")

// Client reads the platform. It is safe for concurrent use.
type Client struct {
	addresses []netip.AddrPort
	http      *http.Client
	// turn picks the next address after a failure.
	turn atomic.Uint32
	// calls counts the calls made; a watch counts as one.
	calls atomic.Int64
}

// New returns a client of the service at addresses, of which there must be at
// least one.
func New(addresses []netip.AddrPort, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{addresses: addresses, http: &http.Client{Transport: &http.Transport{DialContext: dial}}}
}

// Close drops the kept connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Calls returns how many calls were made.
func (c *Client) Calls() int64 {
	return c.calls.Load()
}

// Read returns all keys of space.
func (c *Client) Read(ctx context.Context, space Space) (Values, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.get(ctx, fmt.Sprintf(PathValues, space))
}

// Watch waits for changes of space after revision, and returns them, or
// nothing once WatchFor has passed.
func (c *Client) Watch(ctx context.Context, space Space, after uint64) (Values, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchFor+grace)
	defer cancel()
	return c.get(ctx, fmt.Sprintf(PathWatch+"?after=%d&wait=%s", space, after, WatchFor))
}

func (c *Client) get(ctx context.Context, path string) (Values, error) {
	c.calls.Add(1)
	address := c.addresses[int(c.turn.Load())%len(c.addresses)]
	v, err := c.getFrom(ctx, address, path)
	if err != nil && !errors.Is(err, ErrCompacted) {
		c.turn.Add(1)
	}
	return v, err
}

func (c *Client) getFrom(ctx context.Context, address netip.AddrPort, path string) (Values, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, http.NoBody)
	if err != nil {
		return Values{}, fmt.Errorf("publisher: %w", err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return Values{}, fmt.Errorf("publisher: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return wire.ReadLoose[Values](response.Body, listingLimit)
	case http.StatusGone:
		return Values{}, ErrCompacted
	default:
		return Values{}, fmt.Errorf("publisher: %s: status %d", address, response.StatusCode)
	}
}
