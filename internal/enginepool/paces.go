// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package enginepool

import (
	"iter"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/engineload"
	"github.com/wingvale/wingvale/internal/enginepool/enginepb"
)

// maxPaces is the most paces in one PlaceRequest: those of all engines of a shard.
const maxPaces = 256

// paceCache holds the paces of the engines whose streams this host relayed. A new owner of a shard
// learns them from all hosts, so that it need not observe each engine again. It is safe for
// concurrent use.
type paceCache struct {
	mu     sync.Mutex
	paces  map[string]*engineload.Pace
	sentTo map[shard]netip.AddrPort
}

func newPaceCache() *paceCache {
	return &paceCache{paces: make(map[string]*engineload.Pace), sentTo: make(map[shard]netip.AddrPort)}
}

// record adds the pace that one stream of an engine showed; 0 means unknown.
func (c *paceCache) record(instance string, gap time.Duration) {
	if gap <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.paces[instance]
	if p == nil {
		p = &engineload.Pace{}
		c.paces[instance] = p
	}
	p.Record(gap)
}

func (c *paceCache) forget(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.paces, instance)
}

// retain forgets the paces of the instances for which keep returns false.
func (c *paceCache) retain(keep func(instance string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.paces, func(instance string, _ *engineload.Pace) bool { return !keep(instance) })
}

// of returns the known paces of the given instances.
func (c *paceCache) of(instances iter.Seq[string]) map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]time.Duration)
	for instance := range instances {
		if p := c.paces[instance]; p != nil && p.Gap() > 0 {
			known[instance] = p.Gap()
		}
	}
	return known
}

// resend makes the paces of all shards of a service be sent again, to the same owners too: engines
// that moved between shards are new to them.
func (c *paceCache) resend(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.sentTo, func(s shard, _ netip.AddrPort) bool { return s.service == service })
}

// isSent reports whether the owner of a shard has received the paces that this host knows.
func (c *paceCache) isSent(s shard, owner netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	sentTo, ok := c.sentTo[s]
	return ok && sentTo == owner
}

// markSent records that the owner of a shard has received the paces that this host knows. Later ones
// reach it in reports.
func (c *paceCache) markSent(s shard, owner netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentTo[s] = owner
}

func paceMessages(paces map[string]time.Duration) []*enginepb.Pace {
	messages := make([]*enginepb.Pace, 0, len(paces))
	for instance, gap := range paces {
		if len(messages) == maxPaces {
			break
		}
		messages = append(messages, &enginepb.Pace{Instance: instance, EventGapUs: gap.Microseconds()})
	}
	return messages
}

func pacesFromMessages(messages []*enginepb.Pace) map[string]time.Duration {
	paces := make(map[string]time.Duration, len(messages))
	for _, m := range messages[:min(len(messages), maxPaces)] {
		paces[m.GetInstance()] = microseconds(m.GetEventGapUs())
	}
	return paces
}
