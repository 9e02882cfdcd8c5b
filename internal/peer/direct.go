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
	// directCopies is how many of the hosts that read changes hand them to each host, so
	// that one may be down.
	directCopies = 2
	// packFrom is the size from which entries are compressed.
	packFrom = 1 << 10
)

// teller gathers the entries of one space that are to be told directly while others are
// being sent. It is safe for concurrent use.
type teller struct {
	mu      sync.Mutex
	waiting map[string]published.Entry
	// after and through are between which revisions they are all changes.
	after, through uint64
	sending        bool
}

// Changes are all small changes of a space after one revision through another.
type Changes struct {
	After   uint64
	Through uint64
	Entries []published.Entry
}

// add takes changes in and reports whether the caller is to send them.
func (t *teller) add(c Changes) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = make(map[string]published.Entry)
	}
	if len(t.waiting) == 0 {
		t.after = c.After
	}
	t.through = max(t.through, c.Through)
	for _, e := range c.Entries {
		if old, ok := t.waiting[e.Key]; !ok || e.Version().Compare(old.Version()) > 0 {
			t.waiting[e.Key] = e
		}
	}
	first := !t.sending
	t.sending = true
	return first
}

// take returns what waits; with none the sending ends.
func (t *teller) take() Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := slices.SortedFunc(maps.Values(t.waiting), func(a, b published.Entry) int { return a.Version().Compare(b.Version()) })
	clear(t.waiting)
	t.sending = len(entries) > 0
	return Changes{After: t.after, Through: t.through, Entries: entries}
}

// TellDirect hands the small ones of the changes that this host has read to those hosts
// that it tells among watchers, the hosts that read them. Each host is told by directCopies of the
// watchers, in one step and one message a batch; passed on at random each would get
// several times as many. Each host to which a change is news hands it to one other, for
// those whose watchers cannot read; whoever is missed finds the difference with a heartbeat.
func (g *Gossip) TellDirect(space peerpb.Space, c Changes, watchers []fleet.Member) {
	t := g.tellers[space]
	c.Entries = slices.DeleteFunc(slices.Clone(c.Entries), func(e published.Entry) bool { return e.Version().Large() })
	if t == nil || len(c.Entries) == 0 || !t.add(c) {
		return
	}
	go func() {
		for batch := t.take(); len(batch.Entries) > 0; batch = t.take() {
			g.tellBatch(space, batch, g.share(watchers))
		}
	}()
}

// share returns the addresses of the hosts that this one tells.
func (g *Gossip) share(watchers []fleet.Member) []netip.AddrPort {
	self := g.options.View.Self().Address
	var tellers []owner.Peer
	reads := make(map[netip.AddrPort]bool)
	for _, w := range watchers {
		tellers = append(tellers, owner.Peer{Address: w.Address, Capacity: w.Capacity})
		reads[w.Address] = true
	}
	var addresses []netip.AddrPort
	for _, p := range owner.Eligible(tellers) {
		addresses = append(addresses, p.Address)
	}
	var share []netip.AddrPort
	for _, m := range g.options.View.Members() {
		if m.State == fleet.StateGone || reads[m.Address] {
			continue
		}
		if slices.Contains(owner.Top(addresses, m.Address.String(), directCopies), self) {
			share = append(share, m.Peer)
		}
	}
	return share
}

// tellBatch sends changes to all of some hosts at the same time, and waits for them.
func (g *Gossip) tellBatch(space peerpb.Space, c Changes, peers []netip.AddrPort) {
	request, err := pushRequest(space, c.Entries)
	if err != nil {
		g.options.Log.WithError(err).Warn("entries could not be packed")
		return
	}
	request.Direct, request.After, request.Through = true, c.After, c.Through
	ctx, cancel := context.WithTimeout(g.ctx, directFor)
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

// relay hands entries that were news to one other host. Those whose watchers cannot read
// get them so, by some hosts in turn.
func (g *Gossip) relay(space peerpb.Space, entries []published.Entry) {
	if len(entries) == 0 {
		return
	}
	request, err := pushRequest(space, entries)
	if err != nil {
		g.options.Log.WithError(err).Warn("entries could not be packed")
		return
	}
	for _, m := range g.pick(1, netip.AddrPort{}) {
		g.enqueue(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, callFor)
			defer cancel()
			_, _ = g.client(m.Peer).Push(ctx, request)
		})
	}
}

// pushRequest has entries, compressed where they are not few.
func pushRequest(space peerpb.Space, entries []published.Entry) (*peerpb.PushRequest, error) {
	request := &peerpb.PushRequest{Space: space}
	if bytesOf(entries) < packFrom {
		request.Entries = entryMessages(entries)
		return request, nil
	}
	packed, err := pack(entries)
	request.Packed = packed
	return request, err
}

// directFor bounds the time for which one batch holds up the next: a host that does not
// answer by then finds the difference with a heartbeat.
const directFor = 300 * time.Millisecond
