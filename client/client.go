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
	"strconv"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// Options are a Client's settings. Bootstrap is needed.
type Options struct {
	// Bootstrap are entry addresses to ask first, in any order.
	Bootstrap []netip.AddrPort
	// Zone is the caller's availability zone, if it has one.
	Zone string
	// Transport connects to nodes; nil is a transport of the client's own.
	Transport http.RoundTripper
}

const (
	headerID       = "Wingvale-Request-Id"
	headerRevision = "Wingvale-Revision"
	// idsAtOnce is how many ids are asked for with the addresses.
	idsAtOnce    = 32
	addressLimit = 64 << 10
	askFor       = 2 * time.Second
	// avoidFor is how long a node that did not answer is put last.
	avoidFor = 5 * time.Second
)

// Client is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	mu sync.Mutex
	// held has the last answer's addresses until its time is up.
	held  []netip.AddrPort
	until time.Time
	// ids has unused ids by the node that issued them.
	ids map[netip.AddrPort]idBlock
	// bad has nodes that did not answer, and until when they are put last.
	bad map[netip.AddrPort]time.Time
	// revision is the highest configuration revision that was seen.
	revision uint64
}

type idBlock struct {
	ids   []request.ID
	until time.Time
}

// New returns a client. It makes no call.
func New(o Options) *Client {
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableCompression: true}
	}
	return &Client{
		options: o,
		http:    &http.Client{Transport: o.Transport},
		ids:     make(map[netip.AddrPort]idBlock),
		bad:     make(map[netip.AddrPort]time.Time),
	}
}

// Addresses asks for addresses, from any node that answers, unless the last
// answer may still be held.
func (c *Client) Addresses(ctx context.Context) ([]netip.AddrPort, error) {
	c.mu.Lock()
	held, until := slices.Clone(c.held), c.until
	c.mu.Unlock()
	if len(held) > 0 && time.Now().Before(until) {
		return held, nil
	}
	var last error
	for _, node := range c.order(slices.Concat(held, c.options.Bootstrap)) {
		a, err := c.Ask(ctx, node)
		if err != nil {
			last = err
			continue
		}
		if len(a.Addresses) > 0 {
			return a.Addresses, nil
		}
	}
	if len(held) > 0 {
		return held, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonConnection, "client: no node gives addresses: %w", last)
}

// Ask asks one node for addresses and ids, and keeps them.
func (c *Client) Ask(ctx context.Context, node netip.AddrPort) (request.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, askFor)
	defer cancel()
	target := fmt.Sprintf("http://%s/v1/addresses?ids=%d&zone=%s", node, idsAtOnce, url.QueryEscape(c.options.Zone))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return request.Addresses{}, fmt.Errorf("client: %w", err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.markBad(node)
		return request.Addresses{}, fmt.Errorf("client: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return request.Addresses{}, fmt.Errorf("client: %s: status %d", node, response.StatusCode)
	}
	a, err := wire.ReadLoose[request.Addresses](response.Body, addressLimit)
	if err != nil {
		return request.Addresses{}, fmt.Errorf("client: %w", err)
	}
	c.keep(node, a)
	return a, nil
}

func (c *Client) keep(node netip.AddrPort, a request.Addresses) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(a.Addresses) > 0 {
		c.held = slices.Clone(a.Addresses)
		c.until = time.Now().Add(a.Hold.Std())
	}
	if len(a.IDs) > 0 {
		c.ids[node] = idBlock{ids: a.IDs, until: time.Now().Add(a.IDsValid.Std() / 2)}
	}
	delete(c.bad, node)
	c.revision = max(c.revision, a.Revision)
}

func (c *Client) markBad(node netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bad[node] = time.Now().Add(avoidFor)
}

func (c *Client) isBad(node netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.bad[node])
}

// order returns nodes without repeats, those that did not answer last.
func (c *Client) order(nodes []netip.AddrPort) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var good, bad []netip.AddrPort
	seen := make(map[netip.AddrPort]bool, len(nodes))
	for _, n := range nodes {
		if seen[n] {
			continue
		}
		seen[n] = true
		if now.Before(c.bad[n]) {
			bad = append(bad, n)
			continue
		}
		good = append(good, n)
	}
	return append(good, bad...)
}

// takeID returns an unused id of a node, after asking for more if need be.
func (c *Client) takeID(ctx context.Context, node netip.AddrPort) (request.ID, error) {
	if id, ok := c.heldID(node); ok {
		return id, nil
	}
	if _, err := c.Ask(ctx, node); err != nil {
		return request.ID{}, err
	}
	if id, ok := c.heldID(node); ok {
		return id, nil
	}
	return request.ID{}, fmt.Errorf("client: %s gives no ids", node)
}

func (c *Client) heldID(node netip.AddrPort) (request.ID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	block := c.ids[node]
	if len(block.ids) == 0 || time.Now().After(block.until) {
		return request.ID{}, false
	}
	id := block.ids[0]
	block.ids = block.ids[1:]
	c.ids[node] = block
	return id, true
}

// dropIDs forgets a node's ids: it has been replaced.
func (c *Client) dropIDs(node netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ids, node)
}

// nodes returns the nodes to try, in order: one of the held addresses first,
// then the rest.
func (c *Client) nodes(ctx context.Context) ([]netip.AddrPort, error) {
	held, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	if len(held) > 1 {
		// The answer is held for long, so the calls spread over its best two.
		at := rand.IntN(2)
		held[0], held[at] = held[at], held[0]
	}
	return c.order(slices.Concat(held, c.options.Bootstrap)), nil
}

func (c *Client) setHeaders(r *http.Request, id request.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Header.Set(headerID, id.String())
	r.Header.Set(wire.ContentType, wire.TypeJSON)
	if c.revision > 0 {
		r.Header.Set(headerRevision, strconv.FormatUint(c.revision, 10))
	}
}

// Status asks what became of a request.
func (c *Client) Status(ctx context.Context, id request.ID) (request.Status, error) {
	return c.control(ctx, http.MethodGet, id, "/status")
}

// Cancel ends a request and returns what became of it.
func (c *Client) Cancel(ctx context.Context, id request.ID) (request.Status, error) {
	return c.control(ctx, http.MethodDelete, id, "")
}

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
		return request.Status{}, refusal(response.Body)
	}
	return wire.ReadLoose[request.Status](response.Body, addressLimit)
}

func refusal(body io.Reader) error {
	failed, err := wire.ReadLoose[request.Failed](body, addressLimit)
	if err != nil {
		return verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "client: %w", err)
	}
	return failed.Err()
}
