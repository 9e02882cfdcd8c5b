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

// maxPushBytes is the maximum total size of small entries that are pushed without a request. More
// of them, for example when many backend servers are listed at once, cost as much as a large one.
const maxPushBytes = 4 * published.LargeBytes

// Advertise receives the versions that a peer has and requests the entries that this node lacks.
func (s *service) Advertise(_ context.Context, in *peerpb.AdvertiseRequest) (*peerpb.AdvertiseReply, error) {
	g := s.g
	peer, err := decodeAddress(in.GetPeer())
	if err != nil {
		return nil, twirp.InvalidArgumentError("peer", err.Error())
	}
	store, err := g.options.Spaces.storeFor(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	if len(in.GetVersions()) > maxKeys {
		return nil, twirp.InvalidArgumentError("versions", "too many")
	}
	lacking := make(map[string]published.Version)
	for key, v := range decodeVersions(in.GetVersions()) {
		if store.Lacks(key, v) {
			lacking[key] = v
		}
	}
	if len(lacking) > 0 {
		g.enqueue(func(ctx context.Context) { _, _ = g.requestEntries(ctx, peer, in.GetSpace(), lacking, true) })
	}
	return &peerpb.AdvertiseReply{}, nil
}

// requestEntries requests entries that this node lacks from a peer. It fetches small ones at once
// and starts pulls of large ones, which it returns. Fetched entries are advertised to other peers
// if readvertise is set.
func (g *Gossip) requestEntries(ctx context.Context, peer netip.AddrPort, space peerpb.Space, lacking map[string]published.Version, readvertise bool) ([]*pull, error) {
	store, err := g.options.Spaces.storeFor(space)
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
		if p := g.startPull(space, key, v, peer); p != nil {
			pulls = append(pulls, p)
		}
	}
	claimed := g.pulls.claim(space, small)
	defer g.pulls.release(space, claimed)
	// Some may have arrived from another peer before they were claimed.
	claimed = slices.DeleteFunc(slices.Clone(claimed), func(key string) bool { return !store.Lacks(key, lacking[key]) })
	return pulls, g.fetch(ctx, g.client(peer), space, claimed, lacking, readvertise)
}

// offerEntries pushes small entries to a peer. It advertises large entries, and small entries whose
// total is large.
func (g *Gossip) offerEntries(ctx context.Context, peer netip.AddrPort, space peerpb.Space, entries []published.Entry) error {
	small, large := splitForPush(entries)
	if err := push(ctx, g.client(peer), space, small); err != nil {
		return err
	}
	return g.advertise(ctx, peer, space, large)
}

// splitForPush splits entries into those to push and those to advertise.
func splitForPush(entries []published.Entry) (pushed, advertised []published.Entry) {
	bytes := 0
	for _, e := range entries {
		if e.Version().Large() {
			advertised = append(advertised, e)
			continue
		}
		pushed = append(pushed, e)
		bytes += len(e.Key) + len(e.Data)
	}
	if bytes > maxPushBytes {
		return nil, entries
	}
	return pushed, advertised
}

// advertise sends a peer the versions of entries that this node has.
func (g *Gossip) advertise(ctx context.Context, peer netip.AddrPort, space peerpb.Space, entries []published.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	versions := make([]*peerpb.KeyVersion, 0, len(entries))
	for _, e := range entries {
		versions = append(versions, versionMessage(e.Key, e.Version()))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := g.client(peer).Advertise(ctx, &peerpb.AdvertiseRequest{
		Space: space, Versions: versions, Peer: encodeAddress(g.options.View.Self().Peer),
	})
	return err
}

func (g *Gossip) advertiseToPeers(space peerpb.Space, entries []published.Entry) {
	for _, m := range g.pickLive(Fanout*max(g.options.View.Self().Capacity, 1), netip.AddrPort{}) {
		g.enqueue(func(ctx context.Context) { _ = g.advertise(ctx, m.Peer, space, entries) })
	}
}
