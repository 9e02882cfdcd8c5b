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

// configurationChecker watches that no node ever goes back to an older value,
// and that all end with the same ones.
type configurationChecker struct {
	run *run

	mu sync.Mutex
	// seen has for each node that runs the highest revision of each key.
	seen map[int]map[string]uint64
	down map[int]bool
}

const lookEvery = 50 * time.Millisecond

func newConfigurationChecker(r *run) *configurationChecker {
	return &configurationChecker{run: r, seen: make(map[int]map[string]uint64), down: make(map[int]bool)}
}

// forget notes that a node is down, and what it saw does not bind its next
// incarnation.
func (c *configurationChecker) forget(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[i] = true
	delete(c.seen, i)
}

// remember notes that a node runs again.
func (c *configurationChecker) remember(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.down, i)
}

func (c *configurationChecker) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for i, n := range c.run.site.Nodes() {
			c.look(i, n)
		}
		time.Sleep(lookEvery)
	}
}

func (c *configurationChecker) look(i int, n *harness.Node) {
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
			c.run.breach("node %d went from revision %d of %s back to %d", i, seen[key], key, revision)
		}
		seen[key] = revision
	}
}

// final checks that all nodes agree once all faults have ended.
func (c *configurationChecker) final() {
	var first published.Summary
	for i, n := range c.run.site.Nodes() {
		d := n.Dump()
		if !d.Ready {
			c.run.breach("node %d is not ready: %+v", i, d)
		}
		if i == 0 {
			first = d.Configuration.Summary
			continue
		}
		if !d.Configuration.Summary.Same(first) {
			c.run.breach("node %d holds %v, node 0 %v", i, d.Configuration.Summary, first)
		}
	}
}
