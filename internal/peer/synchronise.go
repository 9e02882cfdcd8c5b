// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net/netip"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

type syncKey struct {
	peer  netip.AddrPort
	space peerpb.Space
}

// noteDiffering starts to synchronise with a peer that holds something else.
func (g *Gossip) noteDiffering(sender *peerpb.Member, summaries []*peerpb.Summary) {
	address, err := addressOf(sender.GetPeer())
	if err != nil {
		return
	}
	for _, space := range g.options.Spaces.differing(summaries) {
		g.enqueue(func(ctx context.Context) { _ = g.synchronise(ctx, address, space) })
	}
}

// Synchronise compares both spaces with some live peers, waits for that, and
// returns how many it reached.
func (g *Gossip) Synchronise(ctx context.Context, count int) int {
	reached := 0
	for _, m := range g.pick(count, netip.AddrPort{}) {
		if g.exchange(ctx, m.Peer) != nil {
			continue
		}
		ok := true
		for space := range g.options.Spaces {
			ok = g.synchronise(ctx, m.Peer, space) == nil && ok
		}
		if ok {
			reached++
		}
	}
	return reached
}

// synchronise takes from a peer what this node lacks of a space and hands over
// what the peer lacks.
func (g *Gossip) synchronise(ctx context.Context, address netip.AddrPort, space peerpb.Space) error {
	key := syncKey{peer: address, space: space}
	if !g.begin(key) {
		return nil
	}
	defer g.end(key)
	ctx, cancel := context.WithTimeout(ctx, syncFor)
	defer cancel()
	store, err := g.options.Spaces.of(space)
	if err != nil {
		return err
	}
	client := g.client(address)
	reply, err := client.Compare(ctx, &peerpb.CompareRequest{Space: space, Sums: store.Sums()})
	if err != nil {
		return err
	}
	newer, wanted := store.Newer(reply.GetSums(), versionsOf(reply.GetVersions()))
	if err := g.fetch(ctx, client, space, wanted); err != nil {
		return err
	}
	return push(ctx, client, space, newer)
}

func (g *Gossip) begin(key syncKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.syncing[key] {
		return false
	}
	g.syncing[key] = true
	return true
}

func (g *Gossip) end(key syncKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.syncing, key)
}

func (g *Gossip) fetch(ctx context.Context, client peerpb.Peer, space peerpb.Space, keys []string) error {
	store, err := g.options.Spaces.of(space)
	if err != nil {
		return err
	}
	for len(keys) > 0 {
		reply, err := client.Fetch(ctx, &peerpb.FetchRequest{Space: space, Keys: keys})
		if err != nil {
			return err
		}
		if len(reply.GetEntries()) == 0 {
			return nil
		}
		g.accepted(space, store.Offer(entriesOf(reply.GetEntries())...))
		keys = keys[min(len(reply.GetEntries()), len(keys)):]
	}
	return nil
}

func push(ctx context.Context, client peerpb.Peer, space peerpb.Space, entries []published.Entry) error {
	for len(entries) > 0 {
		part := fill(entries)
		_, err := client.Push(ctx, &peerpb.PushRequest{Space: space, Entries: entryMessages(part)})
		if err != nil {
			return err
		}
		entries = entries[len(part):]
	}
	return nil
}

// accepted passes on what came into force by a peer.
func (g *Gossip) accepted(space peerpb.Space, entries []published.Entry) {
	if len(entries) == 0 {
		return
	}
	g.options.Accepted(space, entries)
	g.Spread(space, entries)
}

// Spread hands entries that just came into force to a few peers, who do the
// same.
func (g *Gossip) Spread(space peerpb.Space, entries []published.Entry) {
	for _, m := range g.pick(Fanout, netip.AddrPort{}) {
		g.enqueue(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, syncFor)
			defer cancel()
			_ = push(ctx, g.client(m.Peer), space, entries)
		})
	}
}
