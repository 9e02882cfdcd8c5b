// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package campaign

import (
	"context"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/published"
)

// configurationChecker checks that no node ever returns to an older revision of a key, and that all
// nodes have the same configuration at the end.
type configurationChecker struct {
	run *run

	mu sync.Mutex
	// seen has the last seen revision of each key, by running node.
	seen map[int]map[string]uint64
	down map[int]bool
}

// pollInterval is how often watch reads the revisions of all nodes.
const pollInterval = 50 * time.Millisecond

func newConfigurationChecker(r *run) *configurationChecker {
	return &configurationChecker{run: r, seen: make(map[int]map[string]uint64), down: make(map[int]bool)}
}

// markDown marks a node as down and removes its revisions, since its next incarnation may start
// with older ones.
func (c *configurationChecker) markDown(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[i] = true
	delete(c.seen, i)
}

// markUp marks a node as running again.
func (c *configurationChecker) markUp(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.down, i)
}

func (c *configurationChecker) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for i, n := range c.run.site.Nodes() {
			c.checkNode(i, n)
		}
		time.Sleep(pollInterval)
	}
}

func (c *configurationChecker) checkNode(i int, n *harness.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[i] {
		return
	}
	seen := c.seen[i]
	if seen == nil {
		seen = make(map[string]uint64)
		c.seen[i] = seen
	}
	for key, revision := range n.Revisions() {
		if revision < seen[key] {
			c.run.addBreach("node %d went from revision %d of %s back to %d", i, seen[key], key, revision)
		}
		seen[key] = revision
	}
}

// checkAgreement checks that all nodes are ready and have the same configuration. It must be called
// after all faults have ended.
func (c *configurationChecker) checkAgreement() {
	var firstSummary published.Summary
	for i, n := range c.run.site.Nodes() {
		d := n.Dump()
		if !d.Ready {
			c.run.addBreach("node %d is not ready: %+v", i, d)
		}
		if i == 0 {
			firstSummary = d.Configuration.Summary
			continue
		}
		if !d.Configuration.Summary.Same(firstSummary) {
			c.run.addBreach("node %d holds %v, node 0 %v", i, d.Configuration.Summary, firstSummary)
		}
	}
}
