// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/suspect"
)

// Suspects records which backend servers failed while they served which requests. It is safe
// for concurrent use.
type Suspects interface {
	// Sum is equal on nodes that know the same ends.
	Sum() uint64
	// Ends returns all known ends.
	Crashes() []suspect.Crash
	// Merge adds the ends that another node knows and returns those that were new.
	Merge(ends []suspect.Crash) []suspect.Crash
	// Begin starts a try of a request on behalf of another node, unless one is running, and
	// End finishes it.
	GrantTrial(digest suspect.Digest) bool
	EndTrial(digest suspect.Digest)
}

const (
	// batchWindow is how long ends are collected before they are sent: when a server fails,
	// the failures of all its requests are detected within some milliseconds.
	batchWindow = 20 * time.Millisecond
	// endRate and endBurst limit the ends that a node sends in full synchronisations, of 28
	// bytes each. Without a limit, nodes that dropped the oldest of too many ends would
	// receive them again with each heartbeat.
	endRate  = 1000
	endBurst = 2 * suspect.MaxCrashes
	// tryTimeout bounds a request for a try. The owner answers at once.
	tryTimeout = 100 * time.Millisecond
)

// SpreadCrashes sends ends that were new to this node to a few peers, which do the same. So they
// reach 300 nodes in six rounds. A node that was missed detects the difference at its next
// heartbeat.
func (g *Gossip) SpreadCrashes(ends []suspect.Crash) {
	if len(ends) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pendingEnds) == 0 {
		time.AfterFunc(batchWindow, g.spreadPendingEnds)
	}
	if len(g.pendingEnds) < suspect.MaxCrashes {
		g.pendingEnds = append(g.pendingEnds, ends...)
	}
}

func (g *Gossip) spreadPendingEnds() {
	g.mu.Lock()
	ends := g.pendingEnds
	g.pendingEnds = nil
	g.mu.Unlock()
	request := &peerpb.EndsRequest{Ends: endMessages(time.Now(), ends[:min(len(ends), suspect.MaxCrashes)])}
	for _, m := range g.pickLive(Fanout, netip.AddrPort{}) {
		g.enqueue(func(ctx context.Context) { _, _ = g.sendEnds(ctx, m.Peer, request) })
	}
}

func (g *Gossip) sendEnds(ctx context.Context, address netip.AddrPort, request *peerpb.EndsRequest) (*peerpb.EndsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.client(address).Ends(ctx, request)
}

// reconcileEnds exchanges ends with a peer if sum, the peer's sum, differs from this node's.
func (g *Gossip) reconcileEnds(address netip.AddrPort, sum uint64) {
	suspects := g.options.Suspects
	if suspects == nil || suspects.Sum() == sum {
		g.markEndsKnown()
		return
	}
	if !g.endsLimiter.AllowN(time.Now(), len(suspects.Crashes())+1) {
		g.options.Scope.Counter("ends_put_off").Inc(1)
		return
	}
	g.options.Scope.Counter("ends_levelled").Inc(1)
	g.enqueue(func(ctx context.Context) {
		if err := g.syncEnds(ctx, address); err != nil {
			// The heartbeat succeeded; the next one detects the same difference.
			g.options.Log.WithError(err).WithField("peer", address).Debug("cannot exchange ends of backend servers with peer")
		}
	})
}

// syncEnds exchanges all ends with a peer, so that both know the same.
func (g *Gossip) syncEnds(ctx context.Context, address netip.AddrPort) error {
	if g.options.Suspects == nil {
		return nil
	}
	request := &peerpb.EndsRequest{Ends: endMessages(time.Now(), g.options.Suspects.Crashes()), All: true}
	reply, err := g.sendEnds(ctx, address, request)
	if err != nil {
		return err
	}
	g.mergeEnds(reply.GetEnds())
	g.markEndsKnown()
	return nil
}

// CrashesKnown returns a channel that is closed once this node knows the ends of some other node.
func (g *Gossip) CrashesKnown() <-chan struct{} {
	return g.endsKnown
}

func (g *Gossip) markEndsKnown() {
	g.endsKnownOnce.Do(func() { close(g.endsKnown) })
}

// mergeEnds merges ends from a peer and spreads those that are new.
func (g *Gossip) mergeEnds(messages []*peerpb.End) {
	g.SpreadCrashes(g.options.Suspects.Merge(decodeEnds(time.Now(), messages)))
}

// RequestTrial asks a node for permission to try a suspected request.
func (g *Gossip) RequestTrial(ctx context.Context, address netip.AddrPort, digest suspect.Digest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	reply, err := g.client(address).Try(ctx, &peerpb.TryRequest{Request: uint64(digest)})
	if err != nil {
		return false, fmt.Errorf("peer: request a try: %w", err)
	}
	return reply.GetGranted(), nil
}

// ReleaseTrial notifies a node that a try that it granted is over.
func (g *Gossip) ReleaseTrial(address netip.AddrPort, digest suspect.Digest) {
	g.enqueue(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		// If the notification is lost, the try expires on the owner.
		_, _ = g.client(address).Try(ctx, &peerpb.TryRequest{Request: uint64(digest), Over: true})
	})
}

// Ends merges ends from a peer and returns all known ends if the peer asks for them.
func (s *service) Ends(_ context.Context, in *peerpb.EndsRequest) (*peerpb.EndsReply, error) {
	g := s.g
	if g.options.Suspects == nil {
		return &peerpb.EndsReply{}, nil
	}
	if len(in.GetEnds()) > suspect.MaxCrashes {
		return nil, twirp.InvalidArgumentError("ends", "too many")
	}
	g.mergeEnds(in.GetEnds())
	if !in.GetAll() {
		return &peerpb.EndsReply{}, nil
	}
	g.markEndsKnown()
	return &peerpb.EndsReply{Ends: endMessages(time.Now(), g.options.Suspects.Crashes())}, nil
}

// Try starts or finishes a try.
func (s *service) Try(_ context.Context, in *peerpb.TryRequest) (*peerpb.TryReply, error) {
	suspects := s.g.options.Suspects
	if suspects == nil {
		return &peerpb.TryReply{}, nil
	}
	digest := suspect.Digest(in.GetRequest())
	if in.GetOver() {
		suspects.EndTrial(digest)
		return &peerpb.TryReply{}, nil
	}
	return &peerpb.TryReply{Granted: suspects.GrantTrial(digest)}, nil
}

// endMessages encodes the time of ends as an age, since the clocks of hosts differ.
func endMessages(now time.Time, ends []suspect.Crash) []*peerpb.End {
	messages := make([]*peerpb.End, 0, len(ends))
	for _, e := range ends {
		age := min(max(now.Sub(e.CrashedAt).Milliseconds(), 0), math.MaxUint32)
		messages = append(messages, &peerpb.End{
			Request: uint64(e.Request), Server: uint64(e.Server), Answered: e.Answered, Cleared: e.Cleared, AgeMs: uint32(age),
		})
	}
	return messages
}

func decodeEnds(now time.Time, messages []*peerpb.End) []suspect.Crash {
	ends := make([]suspect.Crash, 0, len(messages))
	for _, m := range messages {
		ends = append(ends, suspect.Crash{
			Request:   suspect.Digest(m.GetRequest()),
			Server:    suspect.Server(m.GetServer()),
			Answered:  m.GetAnswered(),
			Cleared:   m.GetCleared(),
			CrashedAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		})
	}
	return ends
}
