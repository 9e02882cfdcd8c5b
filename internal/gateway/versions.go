// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/peer"
	"github.com/wingvale/wingvale/internal/publisher"
	"github.com/wingvale/wingvale/internal/versionlog"
)

const (
	// versionPeers is how many of the hosts that have run longest, by their clocks, may be asked for the
	// software versions that servers have had. In a large fleet versionSample of them and of those that watch
	// the publisher are asked. versionPeerTimeout limits each call.
	versionPeers       = 12
	versionSample      = 4
	versionPeerTimeout = 150 * time.Millisecond
	// versionLearnTries and versionLearnInterval are how often a host that starts asks, and after which pause
	// again.
	versionLearnTries    = 4
	versionLearnInterval = time.Second
	// uninformedLimit is how long a host may hear of no changes before its record of software versions has a
	// gap.
	uninformedLimit = 3 * time.Second
)

// newVersions returns the record of the software versions of servers.
func (n *Node) newVersions() *versionlog.Log {
	return versionlog.New(versionlog.Options{
		Context: n.ctx, Peers: n.peerVersions, History: n.publishedVersions, Log: n.log, Scope: n.options.Scope,
	})
}

// servedVersions tells the relay core which software versions servers have had.
type servedVersions struct {
	node *Node
}

// During returns the versions that the servers of a service have had within window, and whether these are
// known to be all as of a time. A host may have missed that servers joined, so that one version alone
// counts only if the list is proved to be current.
func (s servedVersions) During(ctx context.Context, service string, window time.Duration, asOf time.Time) (versions []string, complete bool) {
	n := s.node
	versions, complete = n.versions.During(ctx, service, window)
	proof := proofNone
	if complete && len(versions) == 1 {
		proof = n.listProof.result(ctx, asOf)
		versions, complete = n.versions.Known(service, window)
		complete = complete && proof != proofNone
		n.options.Scope.Tagged(map[string]string{"proof": cmp.Or(string(proof), "none")}).Counter("version_lists_checked").Inc(1)
	}
	self, known := n.view.Self(), n.hostCache.current()
	n.log.WithFields(logrus.Fields{
		"service": service, "versions": versions, "complete": complete, "proof": string(proof), "observed_ms": n.versions.Report().Observed.Milliseconds(),
		"reads": self.Reads, "readers": known.readers, "hosts": known.live, "members": len(n.view.Members()),
	}).Info("no record of a stream; looked for the versions of its service")
	return versions, complete
}

// recordVersions records the software versions of servers that were added and removed.
func (n *Node) recordVersions(changes []change) {
	for _, c := range changes {
		if c.New != nil {
			n.versions.Add(c.New.Service, c.New.Version)
		}
		if c.Old != nil {
			n.versions.Remove(c.Old.Service, c.Old.Version)
		}
	}
	if n.listed.Summary().Complete().Revision > 0 && n.versions.Complete() {
		go n.learnVersions()
	}
}

// learnVersions learns which software versions servers had before the host knew them. It doesn't wait until a
// stream needs that: when hosts are restarted in turn, those that know may be gone by then. It tries again
// since the host may not know those hosts yet.
func (n *Node) learnVersions() {
	select {
	case <-n.settled:
	case <-n.ctx.Done():
		return
	}
	for range versionLearnTries {
		n.versions.Learn(n.ctx, versionlog.SeenWindow)
		observed := n.versions.Report().Observed
		if observed > time.Since(n.start) && observed >= n.settings.PublisherHistory {
			return
		}
		sleep(n.ctx, versionLearnInterval)
	}
}

// checkVersionRecord records a gap in the record of software versions while this host hears of no changes and
// others may: no host that it knows reads the publisher, and it has lost half of the hosts. Whether the record is
// current is proved when a stream needs it (proveList).
func (n *Node) checkVersionRecord(now time.Time) {
	known := n.hostCache.current()
	n.mostHosts = max(n.mostHosts, known.live)
	informed := n.view.Self().Reads || known.readers > 0
	switch {
	case informed || n.mostHosts == 1 && n.isAlone() || n.mostHosts > 1 && 2*known.live > n.mostHosts:
		n.informedAt = now
	case now.Sub(n.informedAt) > uninformedLimit:
		n.versions.Interrupt()
	}
}

// peerVersions asks some hosts which software versions servers have had.
func (n *Node) peerVersions(ctx context.Context) []versionlog.Report {
	peers := n.versionPeers()
	reports := make([]versionlog.Report, len(peers))
	ctx, cancel := context.WithTimeout(ctx, versionPeerTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for i, p := range peers {
		calls.Go(func() {
			r, err := n.gossip.ServedVersions(ctx, p)
			if err != nil {
				n.log.WithError(err).WithField("peer", p).Debug("cannot ask a peer for the versions of servers")
				return
			}
			reports[i] = r
		})
	}
	calls.Wait()
	return reports
}

// versionPeers returns some of the hosts that have run longest and of those that watch the publisher.
func (n *Node) versionPeers() []netip.AddrPort {
	members := slices.DeleteFunc(n.view.Members(), func(m fleet.Member) bool {
		return m.State == fleet.StateGone || m.State == fleet.StateSuspect
	})
	slices.SortFunc(members, func(a, b fleet.Member) int { return cmp.Compare(a.Beat, b.Beat) })
	watching := peer.ElectedEverywhere(n.view, string(publisher.SpaceHosts), 1)
	var peers []netip.AddrPort
	for _, m := range slices.Concat(members[:min(len(members), versionPeers)], watching) {
		if m.Peer != n.settings.Peer && !slices.Contains(peers, m.Peer) {
			peers = append(peers, m.Peer)
		}
	}
	if n.isLarge() {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:min(len(peers), versionSample)]
	}
	return peers
}

// Reasons for which the publisher's history does not tell which versions there were.
var (
	errNotWatching = errors.New("gateway: this host does not watch the publisher")
	errLostWrites  = errors.New("gateway: the publisher has lost writes")
	errUndated     = errors.New("gateway: the publisher's last change may have removed a server, and is not in its history")
	errUnnamed     = errors.New("gateway: a server was removed whose version is not in the publisher's history")
	errLaggingRead = errors.New("gateway: the publisher's history ends before what is known")
)

// firstEra is the era of a publisher that has never lost writes; one that counts none is in era 0.
const firstEra = 1

// publishedVersions returns the versions in the publisher's history. Only hosts that watch the publisher read
// it: they have told the others what they know.
func (n *Node) publishedVersions(ctx context.Context) (versionlog.Report, error) {
	through := n.listed.Summary().Complete()
	switch {
	case !n.isWatcher(publisher.SpaceHosts):
		return versionlog.Report{}, errNotWatching
	case through.Era > firstEra:
		return versionlog.Report{}, errLostWrites
	}
	history, err := publisher.ReadHistory(ctx, n.options.Source, publisher.SpaceHosts, through)
	if err != nil {
		return versionlog.Report{}, fmt.Errorf("gateway: read the history of servers: %w", err)
	}
	if history.Values.Position().Compare(through) < 0 {
		return versionlog.Report{}, errLaggingRead
	}
	r := versionlog.Report{Observed: versionlog.Retention}
	if history.After > 0 {
		r.Observed = n.settings.PublisherHistory
		newest := max(n.listed.Summary().Revision, n.directives.Summary().Revision)
		if len(history.Values.Values) == 0 && newest < history.Values.Revision {
			return versionlog.Report{}, errUndated
		}
	}
	r.Versions, err = n.versionsIn(history)
	return r, err
}

// versionsIn returns the versions of servers in a history. When each was removed is not known, so that it
// counts from now.
func (n *Node) versionsIn(history publisher.History) ([]versionlog.Seen, error) {
	var versions []versionlog.Seen
	named := make(map[string]bool)
	for _, i := range history.Values.Values {
		if i.Removed {
			if !named[i.Key] {
				return nil, fmt.Errorf("%w: %s", errUnnamed, i.Key)
			}
			continue
		}
		named[i.Key] = true
		server, err := n.options.DecodeServer(i.Key, []byte(i.Value))
		if err != nil || server.InvalidReason != "" {
			// It was never used as a server.
			continue
		}
		seen := versionlog.Seen{Service: server.Service, Version: server.Version}
		if !slices.Contains(versions, seen) {
			versions = append(versions, seen)
		}
	}
	return versions, nil
}
