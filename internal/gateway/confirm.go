// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/publisher"
)

const (
	// confirmedFor is how long one confirmation serves all who ask. It is
	// below the time in which a configuration must be in force everywhere.
	confirmedFor = 800 * time.Millisecond
	// confirmRead and confirmPeers bound asking the publisher and peers.
	confirmRead  = 300 * time.Millisecond
	confirmPeers = 600 * time.Millisecond
	// consulted is how many peers are asked.
	consulted = 2
)

// confirmer makes sure that the node has the newest configuration: by peers,
// which cost nothing and are told of each change at once, or else by the
// publisher. Callers that ask at the same time share one answer.
type confirmer struct {
	node *Node

	mu sync.Mutex
	// running is closed when the confirmation under way has ended.
	running chan struct{}
	at      time.Time
	ok      bool
}

func newConfirmer(n *Node) *confirmer {
	return &confirmer{node: n}
}

// now reports whether the configuration in force is as new as can be known.
func (c *confirmer) now(ctx context.Context) bool {
	c.mu.Lock()
	if c.ok && time.Since(c.at) < confirmedFor {
		c.mu.Unlock()
		return true
	}
	running := c.running
	if running == nil {
		running = make(chan struct{})
		c.running = running
		go c.run(running)
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-running:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ok
}

func (c *confirmer) run(running chan struct{}) {
	began := time.Now()
	ok := c.ask() || c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ok, c.at = ok, began
	c.running = nil
	close(running)
}

func (c *confirmer) read() bool {
	n := c.node
	ctx, cancel := context.WithTimeout(n.ctx, confirmRead)
	defer cancel()
	values, err := n.options.Source.Read(ctx, publisher.SpaceConfiguration)
	if err != nil {
		n.log.WithError(err).Info("the configuration could not be confirmed by the platform")
		return false
	}
	n.configuration.OfferListing(published.Listing{Revision: values.Revision, Entries: values.Entries()})
	n.refresh()
	return true
}

func (c *confirmer) ask() bool {
	ctx, cancel := context.WithTimeout(c.node.ctx, confirmPeers)
	defer cancel()
	ok := c.node.gossip.Synchronise(ctx, consulted) > 0
	c.node.refresh()
	return ok
}
