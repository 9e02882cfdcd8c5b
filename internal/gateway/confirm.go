// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/peer"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/publisher"
)

const (
	// confirmationTTL is how long a successful confirmation is reused. A host may ask an
	// elected one whose confirmation is equally old: both ages together stay below the time
	// within which a configuration must be in force everywhere.
	confirmationTTL = 500 * time.Millisecond
	// confirmRetryInterval is the least time between the starts of a failed check and the next one.
	confirmRetryInterval = 100 * time.Millisecond
	// confirmTimeout bounds a confirmation, including a changed configuration;
	// confirmPeersTimeout is the part of it spent on asking other hosts.
	confirmTimeout      = 1500 * time.Millisecond
	confirmPeersTimeout = 800 * time.Millisecond
	// confirmersPerZone is how many hosts of each availability zone ask the publisher on
	// behalf of the others. They are among the hosts that watch it.
	confirmersPerZone = 1
)

// sharedCheck shares the result of one check between concurrent callers, and with later ones
// for confirmationTTL. After a failure, callers wait for the next check, which does not start before
// confirmRetryInterval. It is safe for concurrent use.
type sharedCheck struct {
	// check performs the check.
	check func(ctx context.Context) bool
	// ctx is cancelled when the node stops.
	ctx context.Context
	// clock also advances while the host is suspended.
	clock func() time.Duration

	mu sync.Mutex
	// running is closed when the check in progress ends; nil if there is none.
	running chan struct{}
	// checkedAt is when the last check started, by clock.
	checkedAt time.Duration
	ok        bool
	// failed reports whether the last check failed.
	failed bool
}

// result returns a result that is at most confirmationTTL old.
func (c *sharedCheck) result(ctx context.Context) bool {
	c.mu.Lock()
	if c.ok && c.clock()-c.checkedAt < confirmationTTL {
		c.mu.Unlock()
		return true
	}
	running := c.running
	if running == nil {
		running = make(chan struct{})
		c.running = running
		var pause time.Duration
		if c.failed {
			pause = max(confirmRetryInterval-(c.clock()-c.checkedAt), 0)
		}
		go c.run(running, pause)
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

func (c *sharedCheck) run(running chan struct{}, pause time.Duration) {
	sleep(c.ctx, pause)
	ctx, cancel := context.WithTimeout(c.ctx, confirmTimeout)
	defer cancel()
	startedAt := c.clock()
	ok := c.check(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ok, c.failed, c.checkedAt = ok, !ok, startedAt
	c.running = nil
	close(running)
}

// configConfirmer ensures that the node has the newest configuration. Only the publisher can
// confirm that: peers once agreed on an old configuration while the newer one was on its way
// to them, and refused callers of an existing route. One host of each availability zone asks
// the publisher for the others.
type configConfirmer struct {
	node *Node
	// publisherCheck asks the publisher; anyCheck asks a host that does, or else the
	// publisher.
	publisherCheck *sharedCheck
	anyCheck       *sharedCheck
}

func newConfirmer(n *Node) *configConfirmer {
	c := &configConfirmer{node: n}
	c.publisherCheck = &sharedCheck{check: c.askPublisher, ctx: n.ctx, clock: n.options.SinceBoot}
	c.anyCheck = &sharedCheck{check: c.askAny, ctx: n.ctx, clock: n.options.SinceBoot}
	return c
}

// confirm reports whether the configuration in force is confirmed to be the newest.
func (c *configConfirmer) confirm(ctx context.Context) bool {
	return c.anyCheck.result(ctx)
}

// confirmForPeer answers a peer's request for confirmation.
func (c *configConfirmer) confirmForPeer(ctx context.Context, space peerpb.Space) bool {
	if space == peerpb.Space_SPACE_HOSTS {
		return c.node.listPoll.result(ctx, time.Now())
	}
	return space == peerpb.Space_SPACE_CONFIGURATION && c.publisherCheck.result(ctx)
}

// askAny asks the publisher first if the node is elected to do so for others; otherwise it
// asks elected peers first and the publisher last.
func (c *configConfirmer) askAny(ctx context.Context) bool {
	n := c.node
	elected := peer.ElectedEverywhere(n.view, string(publisher.SpaceConfiguration), confirmersPerZone)
	others := slices.DeleteFunc(elected, func(m fleet.Member) bool { return m.Address == n.settings.Callers })
	if len(others) < len(elected) && c.publisherCheck.result(ctx) {
		return true
	}
	peersCtx, cancel := context.WithTimeout(ctx, confirmPeersTimeout)
	defer cancel()
	return n.gossip.Confirm(peersCtx, peerpb.Space_SPACE_CONFIGURATION, others) || c.publisherCheck.result(ctx)
}

// askPublisher reads the changes since the newest revision up to which the node has
// everything.
func (c *configConfirmer) askPublisher(ctx context.Context) bool {
	n := c.node
	through := n.directives.Summary().Complete()
	if through.Revision == 0 {
		return c.readPublisher(ctx)
	}
	values, err := n.options.Source.Poll(ctx, publisher.SpaceConfiguration, through)
	if errors.Is(err, publisher.ErrCompacted) {
		return c.readPublisher(ctx)
	}
	if err != nil {
		n.log.WithError(err).Info("failed to confirm the configuration with the platform")
		return false
	}
	if values.Era != through.Era {
		return c.readPublisher(ctx)
	}
	n.applyAndSpread(publisher.SpaceConfiguration, n.directives.Offer(values.Entries()...))
	n.directives.Complete(values.Position())
	return true
}

func (c *configConfirmer) readPublisher(ctx context.Context) bool {
	n := c.node
	values, err := n.options.Source.Read(ctx, publisher.SpaceConfiguration)
	if err == nil {
		err = publisher.CheckEra(n.directives, values)
	}
	if err != nil {
		n.log.WithError(err).Info("failed to confirm the configuration with the platform")
		return false
	}
	n.applyAndSpread(publisher.SpaceConfiguration, n.directives.OfferListing(values.Listing()))
	return true
}
