// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package client

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// Options configures a Client. Bootstrap is required.
type Options struct {
	// Bootstrap lists addresses of entry hosts to contact first, in any order.
	Bootstrap []netip.AddrPort
	// Zone is the caller's availability zone, if it has one.
	Zone string
	// Transport connects to nodes. If nil, the client creates its own.
	Transport http.RoundTripper
}

const (
	headerID       = "Wingvale-Request-Id"
	headerRevision = "Wingvale-Revision"
	// idsPerFetch is the number of request ids that are requested with the addresses.
	idsPerFetch = 32
	// maxResponseBytes limits the length of every response that is not a stream.
	maxResponseBytes = 64 << 10
	// fetchTimeout limits a request for addresses and ids.
	fetchTimeout = 2 * time.Second
	// unavailableDuration is how long a node is tried last after it did not answer.
	unavailableDuration = 5 * time.Second
)

// Client sends requests to wingvale nodes. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	mu sync.Mutex
	// addresses are the addresses fetched last. They are used until addressesExpireAt, and
	// after it only if no node returns new ones.
	addresses         []netip.AddrPort
	addressesExpireAt time.Time
	// ids has the unused request ids by the node that issued them.
	ids map[netip.AddrPort]idBlock
	// unavailableUntil has the nodes that did not answer, and until when they are tried last.
	unavailableUntil map[netip.AddrPort]time.Time
	// newest is the highest position of the configuration seen.
	newest published.Position
}

// idBlock is a list of unused request ids of one node, which expire together.
type idBlock struct {
	ids       []request.ID
	expiresAt time.Time
}

// New returns a client. It does not connect to any node.
func New(o Options) *Client {
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: wire.MaxHeadBytes}
	}
	return &Client{
		options:          o,
		http:             &http.Client{Transport: wire.CheckedTransport(o.Transport)},
		ids:              make(map[netip.AddrPort]idBlock),
		unavailableUntil: make(map[netip.AddrPort]time.Time),
	}
}

// Addresses returns the cached addresses of nodes while they are fresh. Otherwise it fetches
// them from the first node that answers, or falls back to the expired addresses.
func (c *Client) Addresses(ctx context.Context) ([]netip.AddrPort, error) {
	c.mu.Lock()
	cached, expiresAt := slices.Clone(c.addresses), c.addressesExpireAt
	c.mu.Unlock()
	if len(cached) > 0 && time.Now().Before(expiresAt) {
		return cached, nil
	}
	var last error
	for _, node := range c.preferAvailable(slices.Concat(cached, c.options.Bootstrap)) {
		a, err := c.FetchAddresses(ctx, node)
		if err != nil {
			last = err
			continue
		}
		if len(a.Addresses) > 0 {
			return a.Addresses, nil
		}
	}
	if len(cached) > 0 {
		return cached, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonConnection, "client: no node gives addresses: %w", last)
}

// FetchAddresses fetches addresses and request ids from one node and caches them.
func (c *Client) FetchAddresses(ctx context.Context, node netip.AddrPort) (request.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	target := fmt.Sprintf("http://%s/v1/addresses?ids=%d&zone=%s", node, idsPerFetch, url.QueryEscape(c.options.Zone))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return request.Addresses{}, fmt.Errorf("client: %w", err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.markUnavailable(node)
		return request.Addresses{}, fmt.Errorf("client: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return request.Addresses{}, fmt.Errorf("client: %s: status %d", node, response.StatusCode)
	}
	a, err := wire.ReadLenient[request.Addresses](response.Body, maxResponseBytes)
	if err != nil {
		return request.Addresses{}, fmt.Errorf("client: %w", err)
	}
	c.cacheResponse(node, a)
	return a, nil
}

// cacheResponse caches the addresses and ids that a node returned, and marks the node available.
func (c *Client) cacheResponse(node netip.AddrPort, a request.Addresses) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(a.Addresses) > 0 {
		c.addresses = slices.Clone(a.Addresses)
		c.addressesExpireAt = time.Now().Add(a.TTL.Std())
	}
	if len(a.IDs) > 0 {
		c.ids[node] = idBlock{ids: a.IDs, expiresAt: time.Now().Add(a.IDsValid.Std() / 2)}
	}
	delete(c.unavailableUntil, node)
	if p := (published.Position{Era: a.Era, Revision: a.Revision}); p.Compare(c.newest) > 0 {
		c.newest = p
	}
}

// markUnavailable makes a node the last choice for unavailableDuration.
func (c *Client) markUnavailable(node netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailableUntil[node] = time.Now().Add(unavailableDuration)
}

func (c *Client) isUnavailable(node netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.unavailableUntil[node])
}

// preferAvailable returns nodes without duplicates, with unavailable nodes moved to the end.
func (c *Client) preferAvailable(nodes []netip.AddrPort) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var available, unavailable []netip.AddrPort
	seen := make(map[netip.AddrPort]bool, len(nodes))
	for _, n := range nodes {
		if seen[n] {
			continue
		}
		seen[n] = true
		if now.Before(c.unavailableUntil[n]) {
			unavailable = append(unavailable, n)
			continue
		}
		available = append(available, n)
	}
	return append(available, unavailable...)
}

// acquireID returns an unused request id of a node. It fetches more ids if none is cached.
func (c *Client) acquireID(ctx context.Context, node netip.AddrPort) (request.ID, error) {
	if id, ok := c.cachedID(node); ok {
		return id, nil
	}
	if _, err := c.FetchAddresses(ctx, node); err != nil {
		return request.ID{}, err
	}
	if id, ok := c.cachedID(node); ok {
		return id, nil
	}
	return request.ID{}, fmt.Errorf("client: %s returned no request ids", node)
}

// cachedID removes one unexpired id of a node from the cache and returns it, if there is one.
func (c *Client) cachedID(node netip.AddrPort) (request.ID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	block := c.ids[node]
	if len(block.ids) == 0 || time.Now().After(block.expiresAt) {
		return request.ID{}, false
	}
	id := block.ids[0]
	block.ids = block.ids[1:]
	c.ids[node] = block
	return id, true
}

// discardIDs discards the cached ids of a node that has been replaced or has rejected an id.
func (c *Client) discardIDs(node netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ids, node)
}

// candidateNodes returns the nodes to try in order: one of the two best addresses first, then
// the others, then the bootstrap addresses. Unavailable nodes come last.
func (c *Client) candidateNodes(ctx context.Context) ([]netip.AddrPort, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	if len(addresses) > 1 {
		// Addresses are cached for a long time, so calls are spread over the best two.
		i := rand.IntN(2)
		addresses[0], addresses[i] = addresses[i], addresses[0]
	}
	return c.preferAvailable(slices.Concat(addresses, c.options.Bootstrap)), nil
}

func (c *Client) setHeaders(r *http.Request, id request.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Header.Set(headerID, id.String())
	r.Header.Set(wire.ContentType, wire.TypeJSON)
	if !c.newest.IsZero() {
		r.Header.Set(headerRevision, c.newest.String())
	}
}

// Status returns the status of a request from the node that issued its id.
func (c *Client) Status(ctx context.Context, id request.ID) (request.Status, error) {
	return c.control(ctx, http.MethodGet, id, "/status")
}

// Cancel cancels a request at the node that issued its id and returns its status.
func (c *Client) Cancel(ctx context.Context, id request.ID) (request.Status, error) {
	return c.control(ctx, http.MethodDelete, id, "")
}

// control sends a status or cancel request to the issuer of an id.
func (c *Client) control(ctx context.Context, method string, id request.ID, suffix string) (request.Status, error) {
	target := fmt.Sprintf("http://%s/v1/requests/%s%s", id.Issuer, id, suffix)
	r, err := http.NewRequestWithContext(ctx, method, target, http.NoBody)
	if err != nil {
		return request.Status{}, fmt.Errorf("client: %w", err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return request.Status{}, verdict.New(verdict.Unknown, verdict.ReasonConnection, "client: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return request.Status{}, decodeRefusal(response.Body)
	}
	return wire.ReadLenient[request.Status](response.Body, maxResponseBytes)
}

// decodeRefusal returns the error that the body of a response other than 200 OK describes.
func decodeRefusal(body io.Reader) error {
	failed, err := wire.ReadLenient[request.Failed](body, maxResponseBytes)
	if err != nil {
		return verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "client: %w", err)
	}
	return failed.Err()
}
