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

// Suspects records which backend servers crashed while they served which requests. It is safe for
// concurrent use.
type Suspects interface {
	// Sum is equal on nodes that know the same crashes.
	Sum() uint64
	// Crashes returns all known crashes.
	Crashes() []suspect.Crash
	// Merge adds the crashes that another node knows and returns those that were new.
	Merge(crashes []suspect.Crash) []suspect.Crash
	// GrantTrial starts a trial of a request on behalf of another node, unless one is running, and
	// EndTrial ends it.
	GrantTrial(digest suspect.Digest) bool
	EndTrial(digest suspect.Digest)
}

const (
	// batchWindow is how long crashes are collected before they are sent: when a server fails,
	// the failures of all its requests are detected within some milliseconds.
	batchWindow = 20 * time.Millisecond
	// crashRate and crashBurst limit the crashes that a node sends in full synchronisations, of
	// about 55 bytes each at most. Without a limit, nodes that dropped the oldest of too many crashes would
	// receive them again with each heartbeat.
	crashRate  = 1000
	crashBurst = 2 * suspect.MaxCrashes
	// trialTimeout bounds a request for a trial. The owner answers at once.
	trialTimeout = 100 * time.Millisecond
)

// SpreadCrashes sends crashes that were new to this node to a few peers, which do the same, so
// that they reach 300 nodes in six rounds. A node that was missed detects the difference at its
// next heartbeat.
func (g *Gossip) SpreadCrashes(crashes []suspect.Crash) {
	if len(crashes) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pendingCrashes) == 0 {
		time.AfterFunc(batchWindow, g.spreadPendingCrashes)
	}
	if len(g.pendingCrashes) < suspect.MaxCrashes {
		g.pendingCrashes = append(g.pendingCrashes, crashes...)
	}
}

func (g *Gossip) spreadPendingCrashes() {
	g.mu.Lock()
	crashes := g.pendingCrashes
	g.pendingCrashes = nil
	g.mu.Unlock()
	request := &peerpb.EndsRequest{Ends: crashMessages(time.Now(), crashes[:min(len(crashes), suspect.MaxCrashes)])}
	for _, m := range g.pickLive(Fanout, netip.AddrPort{}) {
		g.enqueue(func(ctx context.Context) { _, _ = g.sendCrashes(ctx, m.Peer, request) })
	}
}

func (g *Gossip) sendCrashes(ctx context.Context, address netip.AddrPort, request *peerpb.EndsRequest) (*peerpb.EndsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.client(address).Ends(ctx, request)
}

// reconcileCrashes exchanges crashes with a peer if sum, the peer's sum, differs from this node's.
func (g *Gossip) reconcileCrashes(address netip.AddrPort, sum uint64) {
	suspects := g.options.Suspects
	if suspects == nil || suspects.Sum() == sum {
		g.markCrashesKnown()
		return
	}
	if !g.crashesLimiter.AllowN(time.Now(), len(suspects.Crashes())+1) {
		g.options.Scope.Counter("ends_put_off").Inc(1)
		return
	}
	g.options.Scope.Counter("ends_levelled").Inc(1)
	g.enqueue(func(ctx context.Context) {
		if err := g.syncCrashes(ctx, address); err != nil {
			// The heartbeat succeeded; the next one detects the same difference.
			g.options.Log.WithError(err).WithField("peer", address).Debug("cannot exchange crashes of backend servers with peer")
		}
	})
}

// syncCrashes exchanges all crashes with a peer, so that both know the same.
func (g *Gossip) syncCrashes(ctx context.Context, address netip.AddrPort) error {
	if g.options.Suspects == nil {
		return nil
	}
	request := &peerpb.EndsRequest{Ends: crashMessages(time.Now(), g.options.Suspects.Crashes()), All: true}
	reply, err := g.sendCrashes(ctx, address, request)
	if err != nil {
		return err
	}
	g.mergeCrashes(reply.GetEnds())
	g.markCrashesKnown()
	return nil
}

// CrashesKnown returns a channel that is closed once this node knows the crashes of some other
// node.
func (g *Gossip) CrashesKnown() <-chan struct{} {
	return g.crashesKnown
}

func (g *Gossip) markCrashesKnown() {
	g.crashesKnownOnce.Do(func() { close(g.crashesKnown) })
}

// mergeCrashes merges crashes from a peer and spreads those that are new.
func (g *Gossip) mergeCrashes(messages []*peerpb.End) {
	g.SpreadCrashes(g.options.Suspects.Merge(decodeCrashes(time.Now(), messages)))
}

// RequestTrial asks a node for permission to try a suspected request.
func (g *Gossip) RequestTrial(ctx context.Context, address netip.AddrPort, digest suspect.Digest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply, err := g.client(address).Try(ctx, &peerpb.TryRequest{Request: uint64(digest)})
	if err != nil {
		return false, fmt.Errorf("peer: request a trial: %w", err)
	}
	return reply.GetGranted(), nil
}

// ReleaseTrial notifies a node that a trial that it granted is over.
func (g *Gossip) ReleaseTrial(address netip.AddrPort, digest suspect.Digest) {
	g.enqueue(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, trialTimeout)
		defer cancel()
		// If the notification is lost, the trial expires on the owner.
		_, _ = g.client(address).Try(ctx, &peerpb.TryRequest{Request: uint64(digest), Over: true})
	})
}

// Ends merges crashes from a peer and returns all known crashes if the peer asks for them.
func (s *service) Ends(_ context.Context, in *peerpb.EndsRequest) (*peerpb.EndsReply, error) {
	g := s.g
	if g.options.Suspects == nil {
		return &peerpb.EndsReply{}, nil
	}
	if len(in.GetEnds()) > suspect.MaxCrashes {
		return nil, twirp.InvalidArgumentError("ends", "too many")
	}
	g.mergeCrashes(in.GetEnds())
	if !in.GetAll() {
		return &peerpb.EndsReply{}, nil
	}
	g.markCrashesKnown()
	return &peerpb.EndsReply{Ends: crashMessages(time.Now(), g.options.Suspects.Crashes())}, nil
}

// Try starts or ends a trial.
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

// crashMessages encodes the time of crashes as an age, since the clocks of hosts differ.
func crashMessages(now time.Time, crashes []suspect.Crash) []*peerpb.End {
	messages := make([]*peerpb.End, 0, len(crashes))
	for _, e := range crashes {
		age := min(max(now.Sub(e.CrashedAt).Milliseconds(), 0), math.MaxUint32)
		messages = append(messages, &peerpb.End{
			Request: uint64(e.Digest), Server: uint64(e.Server), Answered: e.Answered, AgeMs: uint32(age),
			Version: uint64(e.Version), Answers: e.Answers, Cleared: e.Answers > 0,
			Part: e.Part, Holder: uint64(e.Holder), Trial: e.Trial, Known: e.Known,
		})
	}
	return messages
}

// decodeAnswers returns the number of answers to the request of a crash. Hosts that do not count them
// only say that there was one.
func decodeAnswers(m *peerpb.End) uint32 {
	if m.GetCleared() {
		return max(m.GetAnswers(), 1)
	}
	return m.GetAnswers()
}

func decodeCrashes(now time.Time, messages []*peerpb.End) []suspect.Crash {
	crashes := make([]suspect.Crash, 0, len(messages))
	for _, m := range messages {
		crashes = append(crashes, suspect.Crash{
			Digest:    suspect.Digest(m.GetRequest()),
			Part:      m.GetPart(),
			Holder:    suspect.Digest(m.GetHolder()),
			Trial:     m.GetTrial(),
			Known:     m.GetKnown(),
			Server:    suspect.Server(m.GetServer()),
			Answered:  m.GetAnswered(),
			Version:   suspect.Version(m.GetVersion()),
			Answers:   decodeAnswers(m),
			CrashedAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		})
	}
	return crashes
}
