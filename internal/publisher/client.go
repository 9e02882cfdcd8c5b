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

	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/wire"
)

const (
	// maxListingBytes bounds a full read of one space.
	maxListingBytes = 256 << 20
	// WatchFor is how long one watch waits for a change.
	WatchFor = 25 * time.Second
	// readTimeout bounds the time until the service answers a read, and watchGrace the time
	// that a watch may take in excess of its requested duration. stallTimeout bounds the time
	// without progress in a response, and totalTimeout a listing of the largest size.
	readTimeout  = 10 * time.Second
	watchGrace   = 5 * time.Second
	stallTimeout = 5 * time.Second
	totalTimeout = 5 * time.Minute
)

// ErrCompacted reports that the service no longer has the history since the requested revision, so
// that all keys must be read again.
var ErrCompacted = errors.New("publisher: revision is too old to watch from")

// Client reads from the platform. It is safe for concurrent use.
type Client struct {
	addresses []netip.AddrPort
	http      *http.Client
	// addressIndex selects the address. It is incremented after a failure.
	addressIndex atomic.Uint32
	// calls counts the calls made; a watch counts as one.
	calls atomic.Int64
}

// New returns a client of the service at addresses, of which there must be at least one.
func New(addresses []netip.AddrPort, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{addresses: addresses, http: &http.Client{
		Transport: wire.CheckedTransport(&http.Transport{DialContext: dial, MaxResponseHeaderBytes: wire.MaxHeadBytes}),
	}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Calls returns the number of calls made.
func (c *Client) Calls() int64 {
	return c.calls.Load()
}

// Read returns all keys of space.
func (c *Client) Read(ctx context.Context, space Space) (Values, error) {
	return c.get(ctx, fmt.Sprintf(PathValues, space), readTimeout)
}

// Watch waits for changes of space after a revision and returns them, or no changes once WatchFor
// has passed.
func (c *Client) Watch(ctx context.Context, space Space, after published.Position) (Values, error) {
	return c.watch(ctx, space, after, WatchFor)
}

// Poll returns the changes of space after a revision without waiting for any.
func (c *Client) Poll(ctx context.Context, space Space, after published.Position) (Values, error) {
	return c.watch(ctx, space, after, 0)
}

func (c *Client) watch(ctx context.Context, space Space, after published.Position, wait time.Duration) (Values, error) {
	return c.get(ctx, fmt.Sprintf(PathWatch+"?after=%d&wait=%s", space, after.Revision, wait), wait+watchGrace)
}

// get calls the service, which must start to answer within responseTimeout.
func (c *Client) get(ctx context.Context, path string, responseTimeout time.Duration) (Values, error) {
	c.calls.Add(1)
	address := c.addresses[int(c.addressIndex.Load())%len(c.addresses)]
	v, err := c.getFrom(ctx, address, path, ReadTimeouts{First: responseTimeout, Stall: stallTimeout, Whole: totalTimeout})
	if err != nil && !errors.Is(err, ErrCompacted) {
		c.addressIndex.Add(1)
	}
	return v, err
}

func (c *Client) getFrom(ctx context.Context, address netip.AddrPort, path string, readTimeouts ReadTimeouts) (Values, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, http.NoBody)
	if err != nil {
		return Values{}, fmt.Errorf("publisher: %w", err)
	}
	var values Values
	err = readTimeouts.Do(c.http, r, func(response *http.Response) error {
		switch response.StatusCode {
		case http.StatusOK:
			values, err = wire.ReadLenient[Values](response.Body, maxListingBytes)
			return err
		case http.StatusGone:
			return ErrCompacted
		default:
			return fmt.Errorf("publisher: %s answered with status %d", address, response.StatusCode)
		}
	})
	return values, err
}
