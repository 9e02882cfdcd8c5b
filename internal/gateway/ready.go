// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/relay"
)

const (
	// beginEvery is how often a starting node looks whether it has what it needs;
	// at each seedsShare-th time it tries its seeds. seedsEvery is how often a
	// running one tries them again, so that parts of the fleet that started apart
	// meet.
	beginEvery = 25 * time.Millisecond
	seedsShare = 4
	seedsEvery = 3 * time.Second
	// settledAfter is for how long the hosts that may own pools must have been the
	// same for them to count as known, some rounds of quick heartbeats; settledMost is
	// how long after its start a host waits for that: 295 that start together know each
	// other after 0.8 s.
	settledAfter = 100 * time.Millisecond
	settledMost  = time.Second
	settledEvery = 25 * time.Millisecond
	// consulted is how many peers a starting node asks for what they have.
	consulted = 2
	// entriesMost bounds the addresses in one answer.
	entriesMost = 64
	// announceTo is how many peers hear at once that a node leaves.
	announceTo = 8
)

// begin makes the node ready once it has what the publisher and the peers have,
// and goes on to look for peers at the seeds.
func (n *Node) begin(ctx context.Context) {
	patience := time.Now().Add(n.settings.ReadyAfter)
	for tries := 0; ctx.Err() == nil; tries++ {
		if tries%seedsShare == 0 {
			n.meetSeeds(ctx)
		}
		met := n.meet(ctx)
		read := n.read()
		patient := time.Now().Before(patience)
		known := n.core.Catalog() != nil
		if known && (read && met || !patient && (read || met)) {
			n.ready.Store(true)
			n.log.WithField("read", read).WithField("met", met).Info("ready")
			break
		}
		sleep(ctx, beginEvery)
	}
	for ctx.Err() == nil {
		sleep(ctx, seedsEvery)
		n.meetSeeds(ctx)
	}
	n.meeting.Wait()
}

// isSettled reports whether the view counts as whole.
func (n *Node) isSettled() bool {
	select {
	case <-n.settled:
		return true
	default:
		return false
	}
}

// settle waits until the hosts that may own pools are known, as far as can be told.
// The others may come later: a fleet of 45 with 6 large ones knew those long before
// all, and streams waited for 0.2 s in vain.
func (n *Node) settle(ctx context.Context) {
	defer close(n.settled)
	var eligible []owner.Peer
	since := time.Now()
	for ctx.Err() == nil && time.Since(n.start) < settledMost {
		alone := len(n.settings.Seeds) == 0 || len(n.settings.Seeds) == 1 && n.settings.Seeds[0] == n.settings.Peer
		if now := n.live().Eligible(); !slices.Equal(now, eligible) {
			eligible, since = now, time.Now()
		}
		known := len(n.view.Members()) > 0 && time.Since(since) >= settledAfter
		if alone || known {
			break
		}
		sleep(ctx, settledEvery)
	}
	n.log.WithFields(logrus.Fields{"hosts": n.serving(), "after_ms": time.Since(n.start).Milliseconds()}).Info("owners of pools are known")
}

// read reports whether all spaces have been read from the publisher once.
func (n *Node) read() bool {
	for _, w := range n.watchers {
		select {
		case <-w.First():
		default:
			return false
		}
	}
	return true
}

// meet takes over what some peers have, where any are known.
func (n *Node) meet(ctx context.Context) bool {
	met := n.gossip.Synchronise(ctx, consulted) > 0
	n.refresh()
	return met
}

// meetSeeds begins to contact the seeds that the view does not hold for live. It
// waits for none: a connection to a host that is not up yet hangs, and a later try
// finds it at once where it has come up since. Hosts that waited for three seeds,
// which started last, knew nobody for 0.5 s after their start, 0.2 s after theirs.
func (n *Node) meetSeeds(ctx context.Context) {
	for _, seed := range n.settings.Seeds {
		if seed == n.settings.Peer || n.knows(seed) {
			continue
		}
		n.meeting.Go(func() { n.gossip.Meet(ctx, seed) })
	}
}

func (n *Node) knows(control netip.AddrPort) bool {
	for _, m := range n.view.Members() {
		if m.Peer == control && m.State == fleet.StateLive {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Ready reports whether callers should be sent here.
func (n *Node) Ready() bool {
	return n.ready.Load() && !n.leaving.Load()
}

// Leaving reports whether a planned stop has begun.
func (n *Node) Leaving() bool {
	return n.leaving.Load()
}

// Leave begins a planned stop: the peers are told, callers are sent elsewhere
// from now on, and what has not ended at end is answered then.
func (n *Node) Leave(ctx context.Context, end time.Time) {
	if !n.leaving.CompareAndSwap(false, true) {
		return
	}
	n.log.Info("leaving")
	n.core.Leave(end)
	n.view.Leave()
	n.gossip.Announce(ctx, announceTo)
}

// Entries returns the addresses that callers of a region should use for a host name:
// all, or where routes of that name have homes those of hosts there and in the
// callers' region. Where all hosts leave, these are the ones that left last: they serve
// longest yet. A host that leaves never names itself.
func (n *Node) Entries(host, region string) []netip.AddrPort {
	all := n.hosts.now().entries
	if n.Ready() {
		all = append(slices.Clip(all), entry{address: n.settings.Callers, region: n.settings.Regions[n.settings.Zone]})
	}
	var entries []netip.AddrPort
	if catalog := n.core.Catalog(); catalog != nil && catalog.Bound(host) {
		entries = addressesIn(all, append(slices.Clone(catalog.HomesOf(host)), region))
	}
	if len(entries) == 0 {
		entries = addressesIn(all, nil)
	}
	if len(entries) == 0 {
		entries = n.lastEntries()
	}
	// Answers are bounded, so that each caller of a large fleet gets others.
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries[:min(len(entries), entriesMost)]
}

// addressesIn returns the addresses of the hosts in some regions.
func addressesIn(entries []entry, regions relay.Homes) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, e := range entries {
		if regions.Allow(e.region) {
			addresses = append(addresses, e.address)
		}
	}
	return addresses
}

// lastEntries returns the later half of the hosts that leave.
func (n *Node) lastEntries() []netip.AddrPort {
	leaving := n.view.LastToLeave()
	var entries []netip.AddrPort
	for _, m := range leaving[:(len(leaving)+1)/2] {
		entries = append(entries, m.Address)
	}
	return entries
}

// InFlight returns how many requests of callers, and calls of peers for the
// pools that this host owns, are being served.
func (n *Node) InFlight() int64 {
	return n.inFlight.Load()
}

// counted counts the calls of peers that a handler serves.
func (n *Node) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// Serve serves one request; see relay.Core.Serve.
func (n *Node) Serve(ctx context.Context, r *relay.Request, sink relay.Sink) error {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.paused() {
		n.confirm.now(ctx)
	}
	return n.core.Serve(ctx, r, sink)
}
