// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

const (
	// directCopies is how many watchers push changes to each host, so that one of them may be
	// down.
	directCopies = 2
	// compressThreshold is the total size of entries from which they are compressed.
	compressThreshold = 1 << 10
)

// changeQueue collects the entries of one space that are to be pushed directly while an earlier
// batch is being sent. It is safe for concurrent use.
type changeQueue struct {
	mu     sync.Mutex
	queued map[string]published.Entry
	// after and through: the queue has all changes after the first up to the second position,
	// which are of one era. Both are zero if it has none of which that is known.
	after, through published.Position
	sending        bool
}

// Changes are all changes of a space after position After up to Through, which are of one
// era. If both are zero, the changes are not known to be all.
type Changes struct {
	After   published.Position
	Through published.Position
	Entries []published.Entry
}

// withoutLarge returns the small changes, which are no longer all if there were others.
func (c Changes) withoutLarge() Changes {
	small := slices.DeleteFunc(slices.Clone(c.Entries), func(e published.Entry) bool { return e.Version().Large() })
	if len(small) < len(c.Entries) {
		return Changes{Entries: small}
	}
	return Changes{After: c.After, Through: c.Through, Entries: small}
}

// add queues changes and reports whether the caller must start to send.
func (q *changeQueue) add(c Changes) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queued == nil {
		q.queued = make(map[string]published.Entry)
	}
	switch {
	case c.Through.IsZero() || c.Through.Era < q.through.Era:
	case q.through.IsZero() || c.Through.Era > q.through.Era || c.After.Compare(q.through) > 0:
		// Changes between two ranges are not in the queue, so that it has only one of them whole.
		q.after, q.through = c.After, c.Through
	case c.Through.Compare(q.through) > 0:
		q.through = c.Through
	}
	for _, e := range c.Entries {
		if old, ok := q.queued[e.Key]; !ok || e.Version().Compare(old.Version()) > 0 {
			q.queued[e.Key] = e
		}
	}
	first := !q.sending
	q.sending = true
	return first
}

// drain removes and returns the queued changes. Sending ends when there are none.
func (q *changeQueue) drain() Changes {
	q.mu.Lock()
	defer q.mu.Unlock()
	entries := slices.SortedFunc(maps.Values(q.queued), func(a, b published.Entry) int { return a.Version().Compare(b.Version()) })
	clear(q.queued)
	q.sending = len(entries) > 0
	changes := Changes{After: q.after, Through: q.through, Entries: entries}
	q.after, q.through = published.Position{}, published.Position{}
	return changes
}

// PushChanges pushes the small entries among changes that this host read from the publisher to its
// share of the fleet. watchers are the hosts that read changes. Each other host gets a change from
// directCopies watchers, in one step and one message per batch; random gossip would send it
// several times as many messages. This host and each to which a change is new relay it to their
// successors, for hosts whose watchers cannot read. A host that was missed detects the difference
// by heartbeat.
func (g *Gossip) PushChanges(space peerpb.Space, c Changes, watchers []fleet.Member) {
	q := g.changeQueues[space]
	c = c.withoutLarge()
	if q == nil || len(c.Entries) == 0 || !q.add(c) {
		return
	}
	go func() {
		for batch := q.drain(); len(batch.Entries) > 0; batch = q.drain() {
			g.pushBatch(space, batch, g.directTargets(watchers))
			g.relay(space, batch.Entries)
		}
	}()
}

// directTargets returns the peer addresses of the hosts to which this host pushes changes.
func (g *Gossip) directTargets(watchers []fleet.Member) []netip.AddrPort {
	self := g.options.View.Self().Address
	var watcherPeers []owner.Peer
	reads := make(map[netip.AddrPort]bool)
	for _, w := range watchers {
		watcherPeers = append(watcherPeers, owner.Peer{Address: w.Address, Capacity: w.Capacity})
		reads[w.Address] = true
	}
	var addresses []netip.AddrPort
	for _, p := range owner.Eligible(watcherPeers) {
		addresses = append(addresses, p.Address)
	}
	var directTargets []netip.AddrPort
	for _, m := range g.options.View.Members() {
		if m.State == fleet.StateGone || reads[m.Address] {
			continue
		}
		if slices.Contains(owner.Top(addresses, m.Address.String(), directCopies), self) {
			directTargets = append(directTargets, m.Peer)
		}
	}
	return directTargets
}

// pushBatch pushes changes to all given peers concurrently and waits for the calls.
func (g *Gossip) pushBatch(space peerpb.Space, c Changes, peers []netip.AddrPort) {
	request, err := pushRequest(space, c.Entries)
	if err != nil {
		g.options.Log.WithError(err).Warn("cannot compress entries")
		return
	}
	request.Direct, request.Era, request.After, request.Through = true, c.Through.Era, c.After.Revision, c.Through.Revision
	ctx, cancel := context.WithTimeout(g.ctx, directTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, p := range peers {
		all.Go(func() {
			if _, err := g.client(p).Push(ctx, request); err != nil {
				g.options.Scope.Counter("tells_failed").Inc(1)
			}
		})
	}
	all.Wait()
	g.options.Scope.Counter("tells").Inc(int64(len(peers)))
}

// relay pushes entries that were new to this host to its successor, so that hosts whose watchers
// cannot read the publisher get them too.
func (g *Gossip) relay(space peerpb.Space, entries []published.Entry) {
	if len(entries) == 0 {
		return
	}
	request, err := pushRequest(space, entries)
	if err != nil {
		g.options.Log.WithError(err).Warn("cannot compress entries")
		return
	}
	g.enqueue(func(ctx context.Context) {
		for _, m := range g.successors(maxRelayAttempts) {
			if g.pushTo(ctx, m.Peer, request) == nil || ctx.Err() != nil {
				return
			}
		}
	})
}

func (g *Gossip) pushTo(ctx context.Context, address netip.AddrPort, request *peerpb.PushRequest) error {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	_, err := g.client(address).Push(ctx, request)
	return err
}

// pushRequest returns a push of entries, compressed from compressThreshold on.
func pushRequest(space peerpb.Space, entries []published.Entry) (*peerpb.PushRequest, error) {
	request := &peerpb.PushRequest{Space: space}
	if entryBytes(entries) < compressThreshold {
		request.Entries = entryMessages(entries)
		return request, nil
	}
	packed, err := pack(entries)
	request.Packed = packed
	return request, err
}

// directTimeout bounds the time for which one batch delays the next, and that of each attempt to
// relay. A host that does not answer in that time detects the difference by heartbeat.
const directTimeout = 300 * time.Millisecond

// maxRelayAttempts is how many successors are tried.
const maxRelayAttempts = 3
