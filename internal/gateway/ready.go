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
	// readyCheckInterval is how often a starting node checks whether it is ready; on every
	// seedCheckRatio-th check it contacts its seeds. seedInterval is how often a running node
	// contacts them again, so that parts of the fleet that started separately find each other.
	readyCheckInterval = 25 * time.Millisecond
	seedCheckRatio     = 4
	seedInterval       = 3 * time.Second
	// settledAfter is how long the hosts that may own pools must have been unchanged to count
	// as known, a few rounds of fast heartbeats. settleTimeout limits the wait for that after
	// the start of a host: 295 hosts that start together know each other after 0.8 s.
	settledAfter   = 100 * time.Millisecond
	settleTimeout  = time.Second
	settleInterval = 25 * time.Millisecond
	// syncPeers is how many peers a starting node synchronises with.
	syncPeers = 2
	// maxEntries limits the addresses in one answer.
	maxEntries = 64
	// announceFanout is how many peers are notified at once that a node is leaving.
	announceFanout = 8
)

// bringUp makes the node ready once it has the values of the publisher and of peers, or after a while
// those of one of them, and then keeps contacting the seeds.
func (n *Node) bringUp(ctx context.Context) {
	readyDeadline := time.Now().Add(n.settings.ReadyAfter)
	for tries := 0; ctx.Err() == nil; tries++ {
		if tries%seedCheckRatio == 0 {
			n.contactSeeds(ctx)
		}
		synced := n.syncWithPeers(ctx)
		read := n.hasRead()
		waiting := time.Now().Before(readyDeadline)
		known := n.core.Catalog() != nil && n.knowsServers()
		if known && (read && synced || !waiting && (read || synced)) {
			n.ready.Store(true)
			n.log.WithField("read", read).WithField("met", synced).Info("ready")
			break
		}
		sleep(ctx, readyCheckInterval)
	}
	for ctx.Err() == nil {
		sleep(ctx, n.seedPause())
		n.contactSeeds(ctx)
	}
	n.seedContacts.Wait()
}

// isSettled reports whether the view counts as complete.
func (n *Node) isSettled() bool {
	select {
	case <-n.settled:
		return true
	default:
		return false
	}
}

// settle waits until the hosts that may own pools are known, or for at most settleTimeout.
// Other hosts may join later: a fleet of 45 with 6 large hosts knew those long before the
// rest, and waiting for all delayed streams by 0.2 s for nothing.
func (n *Node) settle(ctx context.Context) {
	defer close(n.settled)
	var eligible []owner.Peer
	since := time.Now()
	for ctx.Err() == nil && time.Since(n.start) < settleTimeout {
		if now := n.live().Eligible(); !slices.Equal(now, eligible) {
			eligible, since = now, time.Now()
		}
		known := len(n.view.Members()) > 0 && time.Since(since) >= settledAfter
		if n.isAlone() || known {
			break
		}
		sleep(ctx, settleInterval)
	}
	n.log.WithFields(logrus.Fields{"hosts": n.serving(), "after_ms": time.Since(n.start).Milliseconds()}).Info("owners of pools are known")
}

// knowsServers reports whether the node knows backend servers, or knows that there are none. Peers that
// have just started may know none yet.
func (n *Node) knowsServers() bool {
	summary := n.listed.Summary()
	return summary.Through > 0 || summary.Sum != 0
}

// hasRead reports whether all spaces have been read from the publisher once.
func (n *Node) hasRead() bool {
	for _, w := range n.watchers {
		select {
		case <-w.Ready():
		default:
			return false
		}
	}
	return true
}

// syncWithPeers synchronises with some peers and reports whether any answered.
func (n *Node) syncWithPeers(ctx context.Context) bool {
	synced := n.gossip.Synchronise(ctx, syncPeers) > 0
	n.refresh()
	return synced
}

// contactSeeds starts to contact the seeds that are not live in the view. It does not wait for
// them: a connection to a host that is not up yet hangs, while a later attempt reaches it as
// soon as it is up. Hosts that waited for three seeds, which started last, knew no other host
// for 0.5 s after their own start, 0.2 s after that of the seeds.
func (n *Node) contactSeeds(ctx context.Context) {
	for _, seed := range n.settings.Seeds {
		if seed == n.settings.Peer || n.isLivePeer(seed) {
			continue
		}
		n.seedContacts.Go(func() { n.gossip.ContactSeed(ctx, seed) })
	}
}

func (n *Node) isLivePeer(control netip.AddrPort) bool {
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

// Ready reports whether callers should be sent to this node. An isolated host stays ready: it passes
// requests on to other hosts, and its callers would lose their connections otherwise.
func (n *Node) Ready() bool {
	return n.ready.Load() && !n.leaving.Load()
}

// Leaving reports whether a graceful stop has begun.
func (n *Node) Leaving() bool {
	return n.leaving.Load()
}

// Leave begins a graceful stop: it notifies peers, callers are sent to other nodes from now on,
// and requests still running at end are answered then. Those that arrive at certainFrom or later are taken only if
// their own time limit is before end, or no other host serves.
func (n *Node) Leave(ctx context.Context, end, certainFrom time.Time) {
	if !n.leaving.CompareAndSwap(false, true) {
		return
	}
	n.log.Info("leaving")
	n.core.StartDrain(relay.Drain{
		End: end, CertainFrom: certainFrom, OthersServe: func() bool { return n.hostCache.current().live > 0 },
	})
	n.view.Leave()
	n.origins.Sync()
	n.gossip.Announce(ctx, announceFanout)
}

// Entries returns the addresses that callers of a region should use for a host name: all, or, if
// the routes of that name restrict their regions, those of hosts in the allowed regions or in the
// callers' region. If all hosts are leaving, it returns those that began to leave last, which
// serve longest. A host that is leaving never returns its own address, nor does one that is isolated.
func (n *Node) Entries(host, region string) []netip.AddrPort {
	known := n.hostCache.current()
	all := known.entries
	if n.Ready() && !known.leftOut {
		all = append(slices.Clip(all), callerEntry{address: n.settings.Callers, region: n.settings.Regions[n.settings.Zone]})
	}
	var entries []netip.AddrPort
	if catalog := n.core.Catalog(); catalog != nil && catalog.RestrictsRegions(host) {
		entries = addressesIn(all, append(slices.Clone(catalog.CommonRegions(host)), region))
	}
	if len(entries) == 0 {
		entries = addressesIn(all, nil)
	}
	if len(entries) == 0 {
		entries = n.lastEntries()
	}
	// Answers are limited, so that callers of a large fleet are spread over its hosts.
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries[:min(len(entries), maxEntries)]
}

// addressesIn returns the addresses of the hosts in any of the regions.
func addressesIn(entries []callerEntry, regions relay.Regions) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, e := range entries {
		if regions.Allow(e.region) {
			addresses = append(addresses, e.address)
		}
	}
	return addresses
}

// lastEntries returns the later half of the hosts that are leaving.
func (n *Node) lastEntries() []netip.AddrPort {
	leaving := n.view.LeavingMembers()
	var entries []netip.AddrPort
	for _, m := range leaving[:(len(leaving)+1)/2] {
		entries = append(entries, m.Address)
	}
	return entries
}

// InFlight returns how many requests of callers, and calls of peers to the pools that this
// host owns, are being served.
func (n *Node) InFlight() int64 {
	return n.inFlight.Load()
}

// countInFlight counts the calls of peers that a handler serves.
func (n *Node) countInFlight(h http.Handler) http.Handler {
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
	return n.serve(ctx, r, sink)
}

func (n *Node) serve(ctx context.Context, r *relay.Request, sink relay.Sink) error {
	if n.paused() {
		n.confirmer.confirm(ctx)
	}
	return n.core.Serve(ctx, r, sink)
}
