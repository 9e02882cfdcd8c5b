// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import "github.com/wingvale/wingvale/internal/peer/peerpb"

// DecodeHeartbeatMembers exposes decodeHeartbeatMembers to tests.
var DecodeHeartbeatMembers = decodeHeartbeatMembers

// Heartbeat exposes heartbeat to tests.
func (g *Gossip) Heartbeat() *peerpb.ExchangeRequest { return g.heartbeat() }

// ChangeQueue exposes changeQueue to tests.
type ChangeQueue struct{ queue changeQueue }

// Add adds the small ones of changes.
func (q *ChangeQueue) Add(c Changes) { q.queue.add(c.withoutLarge()) }

// Drain removes and returns the queued changes.
func (q *ChangeQueue) Drain() Changes { return q.queue.drain() }
