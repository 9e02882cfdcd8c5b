// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net/netip"
	"slices"
	"time"

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
	g.noteAhead(address, summaries)
	for _, space := range g.differing(summaries) {
		if g.synchronising(syncKey{peer: address, space: space}) {
			continue
		}
		g.enqueue(func(ctx context.Context) { _, _ = g.synchronise(ctx, address, space) })
	}
}

// differing returns the spaces to compare at once with a peer that told of its own.
func (g *Gossip) differing(summaries []*peerpb.Summary) []peerpb.Space {
	spaces := g.options.Spaces.differing(summaries)
	for _, m := range summaries {
		if !slices.Contains(spaces, m.GetSpace()) {
			g.behind.same(m.GetSpace())
		}
	}
	return slices.DeleteFunc(spaces, func(space peerpb.Space) bool {
		handed := g.options.Direct(space) && g.options.Spaces[space].Summary().Through > 0
		return handed && !g.behind.differs(time.Now(), space)
	})
}

// Synchronise compares both spaces with some live peers, and the ends of backend
// servers, waits for what they have, and returns how many it reached.
func (g *Gossip) Synchronise(ctx context.Context, count int) int {
	reached := 0
	for _, m := range g.pick(count, netip.AddrPort{}) {
		if g.exchange(ctx, m.Peer) != nil {
			continue
		}
		ok := g.levelEnds(ctx, m.Peer) == nil
		for space := range g.options.Spaces {
			ok = g.synchroniseWhole(ctx, m.Peer, space) == nil && ok
		}
		if ok {
			reached++
		}
	}
	return reached
}

// synchroniseWhole is synchronise that waits for large entries too.
func (g *Gossip) synchroniseWhole(ctx context.Context, address netip.AddrPort, space peerpb.Space) error {
	pulls, err := g.synchronise(ctx, address, space)
	if err != nil {
		return err
	}
	for _, p := range pulls {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.done:
		}
	}
	return nil
}

// synchronisation is one that is under way. Its other fields are set before done
// is closed.
type synchronisation struct {
	done  chan struct{}
	pulls []*pull
	err   error
}

// synchronise takes from a peer what this node lacks of a space and hands over
// what the peer lacks: small entries at once, large ones by asking for them or
// telling of them. It returns the pulls of those that it asks for. Who comes while
// another synchronises with the peer waits for that.
func (g *Gossip) synchronise(ctx context.Context, address netip.AddrPort, space peerpb.Space) ([]*pull, error) {
	key := syncKey{peer: address, space: space}
	run, begun := g.begin(key)
	if !begun {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-run.done:
			return run.pulls, run.err
		}
	}
	run.pulls, run.err = g.compare(ctx, address, space)
	g.end(key, run)
	return run.pulls, run.err
}

func (g *Gossip) compare(ctx context.Context, address netip.AddrPort, space peerpb.Space) ([]*pull, error) {
	ctx, cancel := context.WithTimeout(ctx, syncFor)
	defer cancel()
	store, err := g.options.Spaces.of(space)
	if err != nil {
		return nil, err
	}
	reply, err := g.compared(ctx, address, space, store.Sums())
	if err != nil {
		return nil, err
	}
	if reply.GetMany() {
		if err := g.takeBulk(ctx, address, space, store, reply.GetSums()); err != nil {
			return nil, err
		}
		// Where much changes meanwhile the next heartbeat goes on.
		if reply, err = g.compared(ctx, address, space, store.Sums()); err != nil || reply.GetMany() {
			return nil, err
		}
	}
	versions := versionsOf(reply.GetVersions())
	newer, wanted := store.Newer(reply.GetSums(), versions)
	lacking := make(map[string]published.Version, len(wanted))
	for _, key := range wanted {
		lacking[key] = versions[key]
	}
	pulls, err := g.ask(ctx, address, space, lacking, !g.options.Direct(space))
	if err != nil {
		return pulls, err
	}
	if !lacksAny(store, lacking) {
		store.Complete(reply.GetThrough())
	}
	return pulls, g.tell(ctx, address, space, newer)
}

// lacksAny reports whether a store still lacks any of some versions.
func lacksAny(store Store, versions map[string]published.Version) bool {
	for key, v := range versions {
		if store.Lacks(key, v) {
			return true
		}
	}
	return false
}

func (g *Gossip) compared(ctx context.Context, address netip.AddrPort, space peerpb.Space, sums []uint64) (*peerpb.CompareReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	return g.client(address).Compare(ctx, &peerpb.CompareRequest{Space: space, Sums: sums})
}

// begin returns the synchronisation with a key, and whether it is a new one.
func (g *Gossip) begin(key syncKey) (*synchronisation, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if run := g.syncing[key]; run != nil {
		return run, false
	}
	run := &synchronisation{done: make(chan struct{})}
	g.syncing[key] = run
	return run, true
}

func (g *Gossip) end(key syncKey, run *synchronisation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.syncing, key)
	close(run.done)
}

func (g *Gossip) synchronising(key syncKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.syncing[key] != nil
}

// fetch asks for small entries, as many at a time as one part of a large one has
// bytes, within this node's share of its link. Peers are told of them where tell is set.
func (g *Gossip) fetch(ctx context.Context, client peerpb.Peer, space peerpb.Space, keys []string, versions map[string]published.Version, tell bool) error {
	for len(keys) > 0 {
		count, bytes := 0, 0
		for count < len(keys) && (count == 0 || bytes+versions[keys[count]].Bytes <= partBytes) {
			bytes += versions[keys[count]].Bytes
			count++
		}
		if err := g.fetchOnce(ctx, client, space, keys[:count], tell); err != nil {
			return err
		}
		keys = keys[count:]
	}
	return nil
}

func (g *Gossip) fetchOnce(ctx context.Context, client peerpb.Peer, space peerpb.Space, keys []string, tell bool) error {
	store, err := g.options.Spaces.of(space)
	if err != nil {
		return err
	}
	asked, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	reply, err := client.Fetch(asked, &peerpb.FetchRequest{Space: space, Keys: keys})
	if err != nil {
		return err
	}
	entries := entriesOf(reply.GetEntries())
	if accepted := store.Offer(entries...); len(accepted) > 0 {
		g.options.Accepted(space, accepted)
		if tell {
			g.gather(space, accepted, true)
		}
	}
	return pace(ctx, g.received, bytesOf(entries))
}

func bytesOf(entries []published.Entry) int {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Key) + len(e.Data)
	}
	return bytes
}

func push(ctx context.Context, client peerpb.Peer, space peerpb.Space, entries []published.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	_, err := client.Push(ctx, &peerpb.PushRequest{Space: space, Entries: entryMessages(entries)})
	return err
}

// accepted passes on what came into force by a peer.
func (g *Gossip) accepted(space peerpb.Space, entries []published.Entry) {
	if len(entries) == 0 {
		return
	}
	g.options.Accepted(space, entries)
	g.Spread(space, entries)
}
