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

// reconcile starts to synchronise the spaces in which a peer holds other entries.
func (g *Gossip) reconcile(sender *peerpb.Member, summaries []*peerpb.Summary) {
	address, err := decodeAddress(sender.GetPeer())
	if err != nil {
		return
	}
	g.checkLag(address, summaries)
	for _, space := range g.spacesToCompare(summaries) {
		if g.isSynchronising(syncKey{peer: address, space: space}) {
			continue
		}
		g.enqueue(func(ctx context.Context) { _, _ = g.synchronise(ctx, address, space) })
	}
}

// spacesToCompare returns the spaces to compare at once with the sender of summaries.
func (g *Gossip) spacesToCompare(summaries []*peerpb.Summary) []peerpb.Space {
	spaces := g.options.Spaces.differingSpaces(summaries)
	for _, m := range summaries {
		if !slices.Contains(spaces, m.GetSpace()) {
			g.lags.markSame(m.GetSpace())
		}
	}
	return slices.DeleteFunc(spaces, func(space peerpb.Space) bool {
		pushedDirectly := g.options.Direct(space) && g.options.Spaces[space].Summary().Through > 0
		return pushedDirectly && !g.lags.differsTooLong(time.Now(), space)
	})
}

// Synchronise compares all spaces and the known crashes with up to count live peers, waits for the
// missing entries, and returns the number of peers with which that succeeded.
func (g *Gossip) Synchronise(ctx context.Context, count int) int {
	reached := 0
	for _, m := range g.pickLive(count, netip.AddrPort{}) {
		if g.exchange(ctx, m.Peer) != nil {
			continue
		}
		ok := g.syncCrashes(ctx, m.Peer) == nil
		for space := range g.options.Spaces {
			ok = g.synchroniseAndWait(ctx, m.Peer, space) == nil && ok
		}
		if ok {
			reached++
		}
	}
	return reached
}

// synchroniseAndWait is like synchronise and also waits for large entries.
func (g *Gossip) synchroniseAndWait(ctx context.Context, address netip.AddrPort, space peerpb.Space) error {
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

// synchronisation is a synchronisation with one peer. pulls and err are set before done is
// closed.
type synchronisation struct {
	done  chan struct{}
	pulls []*pull
	err   error
}

// synchronise requests the entries of a space that this node lacks from a peer, and pushes or
// advertises those that the peer lacks. Small entries are transferred before it returns; it
// returns the pulls of large ones. A concurrent call for the same peer and space waits for the
// running one.
func (g *Gossip) synchronise(ctx context.Context, address netip.AddrPort, space peerpb.Space) ([]*pull, error) {
	key := syncKey{peer: address, space: space}
	run, isNew := g.beginSync(key)
	if !isNew {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-run.done:
			return run.pulls, run.err
		}
	}
	run.pulls, run.err = g.compareAndSync(ctx, address, space)
	g.endSync(key, run)
	return run.pulls, run.err
}

func (g *Gossip) compareAndSync(ctx context.Context, address netip.AddrPort, space peerpb.Space) ([]*pull, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	store, err := g.options.Spaces.storeFor(space)
	if err != nil {
		return nil, err
	}
	reply, err := g.requestCompare(ctx, address, space, store.Sums())
	if err != nil {
		return nil, err
	}
	if reply.GetMany() {
		if err := g.fetchBulk(ctx, address, space, store, reply.GetSums()); err != nil {
			return nil, err
		}
		// Under constant change, the next heartbeat continues.
		if reply, err = g.requestCompare(ctx, address, space, store.Sums()); err != nil || reply.GetMany() {
			return nil, err
		}
	}
	versions := decodeVersions(reply.GetVersions())
	newer, wanted := store.Newer(reply.GetSums(), versions)
	lacking := make(map[string]published.Version, len(wanted))
	for _, key := range wanted {
		lacking[key] = versions[key]
	}
	pulls, err := g.requestEntries(ctx, address, space, lacking, !g.options.Direct(space))
	if err != nil {
		return pulls, err
	}
	through := published.Position{Era: reply.GetEra(), Revision: reply.GetThrough()}
	if !lacksAny(store, lacking) && !store.HoldsRemoved(reply.GetSums(), versions, through) {
		store.Complete(through)
	}
	return pulls, g.offerEntries(ctx, address, space, newer)
}

// lacksAny reports whether a store lacks any of the versions.
func lacksAny(store Store, versions map[string]published.Version) bool {
	for key, v := range versions {
		if store.Lacks(key, v) {
			return true
		}
	}
	return false
}

func (g *Gossip) requestCompare(ctx context.Context, address netip.AddrPort, space peerpb.Space, sums []uint64) (*peerpb.CompareReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.client(address).Compare(ctx, &peerpb.CompareRequest{Space: space, Sums: sums})
}

// beginSync returns the running synchronisation with the key, or a new one and true.
func (g *Gossip) beginSync(key syncKey) (*synchronisation, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if run := g.syncing[key]; run != nil {
		return run, false
	}
	run := &synchronisation{done: make(chan struct{})}
	g.syncing[key] = run
	return run, true
}

func (g *Gossip) endSync(key syncKey, run *synchronisation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.syncing, key)
	close(run.done)
}

func (g *Gossip) isSynchronising(key syncKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.syncing[key] != nil
}

// fetch fetches small entries in batches of partBytes, within the share of the link for entries.
// They are advertised to other peers if readvertise is set.
func (g *Gossip) fetch(ctx context.Context, client peerpb.Peer, space peerpb.Space, keys []string, versions map[string]published.Version, readvertise bool) error {
	for len(keys) > 0 {
		count, bytes := 0, 0
		for count < len(keys) && (count == 0 || bytes+versions[keys[count]].Bytes <= partBytes) {
			bytes += versions[keys[count]].Bytes
			count++
		}
		if err := g.fetchOnce(ctx, client, space, keys[:count], readvertise); err != nil {
			return err
		}
		keys = keys[count:]
	}
	return nil
}

func (g *Gossip) fetchOnce(ctx context.Context, client peerpb.Peer, space peerpb.Space, keys []string, readvertise bool) error {
	store, err := g.options.Spaces.storeFor(space)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.Fetch(callCtx, &peerpb.FetchRequest{Space: space, Keys: keys})
	if err != nil {
		return err
	}
	entries := decodeEntries(reply.GetEntries())
	if accepted := store.OfferRelayed(entries...); len(accepted) > 0 {
		g.options.Accepted(space, accepted)
		if readvertise {
			g.queueSpread(space, accepted, true)
		}
	}
	return pace(ctx, g.receiveLimiter, entryBytes(entries))
}

func entryBytes(entries []published.Entry) int {
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := client.Push(ctx, &peerpb.PushRequest{Space: space, Entries: entryMessages(entries)})
	return err
}

// handleAccepted reports entries from a peer that came into force, and spreads them.
func (g *Gossip) handleAccepted(space peerpb.Space, entries []published.Entry) {
	if len(entries) == 0 {
		return
	}
	g.options.Accepted(space, entries)
	g.Spread(space, entries)
}
