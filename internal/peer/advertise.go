// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net/netip"
	"slices"

	"github.com/twitchtv/twirp"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

// bulkBytes is how many bytes of small entries are pushed unasked at most. More,
// as when many backend servers are listed at once, cost as much as a large one.
const bulkBytes = 4 * published.LargeBytes

// Advertise takes in which entries a peer has and asks for those that this node
// lacks.
func (s *service) Advertise(_ context.Context, in *peerpb.AdvertiseRequest) (*peerpb.AdvertiseReply, error) {
	g := s.g
	peer, err := addressOf(in.GetPeer())
	if err != nil {
		return nil, twirp.InvalidArgumentError("peer", err.Error())
	}
	store, err := g.options.Spaces.of(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	if len(in.GetVersions()) > maxKeys {
		return nil, twirp.InvalidArgumentError("versions", "too many")
	}
	lacking := make(map[string]published.Version)
	for key, v := range versionsOf(in.GetVersions()) {
		if store.Lacks(key, v) {
			lacking[key] = v
		}
	}
	if len(lacking) > 0 {
		g.enqueue(func(ctx context.Context) { _, _ = g.ask(ctx, peer, in.GetSpace(), lacking, true) })
	}
	return &peerpb.AdvertiseReply{}, nil
}

// ask asks a peer for entries that this node lacks: small ones at once, large
// ones by pulls, which it returns.
func (g *Gossip) ask(ctx context.Context, peer netip.AddrPort, space peerpb.Space, lacking map[string]published.Version, tell bool) ([]*pull, error) {
	store, err := g.options.Spaces.of(space)
	if err != nil {
		return nil, err
	}
	var pulls []*pull
	var small []string
	for key, v := range lacking {
		if !v.Large() {
			small = append(small, key)
			continue
		}
		if p := g.want(space, key, v, peer); p != nil {
			pulls = append(pulls, p)
		}
	}
	claimed := g.pulls.claim(space, small)
	defer g.pulls.release(space, claimed)
	// Some may have come from another peer before they were claimed.
	claimed = slices.DeleteFunc(slices.Clone(claimed), func(key string) bool { return !store.Lacks(key, lacking[key]) })
	return pulls, g.fetch(ctx, g.client(peer), space, claimed, lacking, tell)
}

// tell hands small entries over to a peer and advertises large ones, and small
// ones that are many.
func (g *Gossip) tell(ctx context.Context, peer netip.AddrPort, space peerpb.Space, entries []published.Entry) error {
	small, large := split(entries)
	if err := push(ctx, g.client(peer), space, small); err != nil {
		return err
	}
	return g.advertise(ctx, peer, space, large)
}

// split parts entries into those to push and those to advertise.
func split(entries []published.Entry) (pushed, advertised []published.Entry) {
	bytes := 0
	for _, e := range entries {
		if e.Version().Large() {
			advertised = append(advertised, e)
			continue
		}
		pushed = append(pushed, e)
		bytes += len(e.Key) + len(e.Data)
	}
	if bytes > bulkBytes {
		return nil, entries
	}
	return pushed, advertised
}

// advertise tells a peer which entries this node has.
func (g *Gossip) advertise(ctx context.Context, peer netip.AddrPort, space peerpb.Space, entries []published.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	versions := make([]*peerpb.KeyVersion, 0, len(entries))
	for _, e := range entries {
		versions = append(versions, versionMessage(e.Key, e.Version()))
	}
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	_, err := g.client(peer).Advertise(ctx, &peerpb.AdvertiseRequest{
		Space: space, Versions: versions, Peer: addressBytes(g.options.View.Self().Peer),
	})
	return err
}

func (g *Gossip) advertiseToSome(space peerpb.Space, entries []published.Entry) {
	for _, m := range g.pick(Fanout*max(g.options.View.Self().Capacity, 1), netip.AddrPort{}) {
		g.enqueue(func(ctx context.Context) { _ = g.advertise(ctx, m.Peer, space, entries) })
	}
}
