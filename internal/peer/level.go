// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
)

// Two nodes level their views when a heartbeat shows that the views differ: each sends the other
// the members of the buckets that differ, once. While a node finds differing views, it sends
// heartbeats in quick succession. So the knowledge of a fleet of 560 nodes doubles with each
// round, and all nodes know all others some 1 s after a simultaneous start. With one heartbeat of
// 16 members a second, a node knew 0.08 of the fleet after 2 s.

const (
	// quickInterval is the mean time between heartbeats of a node that finds peers with
	// different views.
	quickInterval = 50 * time.Millisecond
	// quickBurst is how many quick heartbeats may follow each other: twice as many as 560
	// nodes need that start together. After the burst quickRate of them are allowed a second,
	// so that a fleet under constant change sends little more than a fleet at rest.
	quickBurst = 20
	quickRate  = 1
	// maxLevelMembers bounds the members in one message, 50 KB.
	maxLevelMembers = 1024
	// levelRate and levelBurst limit the members that a node sends in replies, to 0.2 MB a
	// second of its link. When a fleet starts, all nodes query the first ones. Nodes that are
	// turned away query any other node.
	levelRate    = 4000
	levelBurst   = 2 * maxLevelMembers
	levelTimeout = time.Second
)

func newLevelLimiter() *rate.Limiter {
	return rate.NewLimiter(levelRate, levelBurst)
}

// level levels this node's view with that of a peer whose total sum is view. It does nothing
// for a peer that sends no sum, which is 0.
func (g *Gossip) level(ctx context.Context, address netip.AddrPort, view uint64) error {
	sums := g.options.View.Sums()
	if view == 0 || sums.Total() == view {
		return nil
	}
	g.notifyViewChanged()
	g.options.Scope.Counter("views_levelled").Inc(1)
	ctx, cancel := context.WithTimeout(ctx, levelTimeout)
	defer cancel()
	client := g.client(address)
	reply, err := client.Level(ctx, &peerpb.LevelRequest{Sums: sums[:]})
	if err != nil || reply.GetBusy() {
		return err
	}
	reported, err := decodeMembers(reply.GetMembers(), maxLevelMembers)
	if err != nil {
		return err
	}
	other, err := fleet.SumsOf(reply.GetSums())
	if err != nil {
		return err
	}
	superseding := fleet.NewerMembers(g.options.View.Differing(other), reported)
	g.options.View.Merge(time.Now(), reported...)
	if len(superseding) == 0 {
		return nil
	}
	_, err = client.Level(ctx, &peerpb.LevelRequest{Members: memberMessages(superseding[:min(len(superseding), maxLevelMembers)])})
	return err
}

// Level merges the members of the caller, and returns those in buckets that differ from its sums.
func (s *service) Level(_ context.Context, in *peerpb.LevelRequest) (*peerpb.LevelReply, error) {
	g := s.g
	members, err := decodeMembers(in.GetMembers(), maxLevelMembers)
	if err != nil {
		return nil, twirp.InvalidArgumentError("members", err.Error())
	}
	now := time.Now()
	if g.options.View.Merge(now, members...) {
		g.notifyViewChanged()
	}
	if len(in.GetSums()) == 0 {
		return &peerpb.LevelReply{}, nil
	}
	sums, err := fleet.SumsOf(in.GetSums())
	if err != nil {
		return nil, twirp.InvalidArgumentError("sums", err.Error())
	}
	differing := g.options.View.Differing(sums)
	differing = differing[:min(len(differing), maxLevelMembers)]
	if !g.levelLimiter.AllowN(now, len(differing)) {
		g.options.Scope.Counter("levels_refused").Inc(1)
		return &peerpb.LevelReply{Busy: true}, nil
	}
	own := g.options.View.Sums()
	return &peerpb.LevelReply{Members: memberMessages(differing), Sums: own[:]}, nil
}

// notifyViewChanged makes the next heartbeat a quick one.
func (g *Gossip) notifyViewChanged() {
	select {
	case g.viewChanged <- struct{}{}:
	default:
	}
}

// waitForHeartbeat waits until the next heartbeat is due and reports whether it is a quick one.
// ok is false if ctx was cancelled.
func (g *Gossip) waitForHeartbeat(ctx context.Context) (quick, ok bool) {
	timer := time.NewTimer(g.jitter(g.options.Interval))
	defer timer.Stop()
	viewChanged := g.viewChanged
	for {
		select {
		case <-ctx.Done():
			return false, false
		case <-timer.C:
			return quick, true
		case <-viewChanged:
			if g.quickLimiter.Allow() {
				quick = true
				timer.Reset(g.jitter(quickInterval))
			}
			viewChanged = nil
		}
	}
}
