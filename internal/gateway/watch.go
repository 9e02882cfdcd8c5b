// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"github.com/wingvale/wingvale/internal/peer"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/publisher"
)

const (
	// maxAllWatch is the fleet size up to which all nodes watch the publisher. In larger
	// fleets, watchersPerZone nodes of each availability zone watch, and the rest get the
	// changes from peers.
	maxAllWatch     = 12
	watchersPerZone = 3
	// maxBackoff limits the backoff between attempts to reach the publisher, so that its
	// recovery is noticed in time.
	maxBackoff = 500 * time.Millisecond
	// peerCopyTimeout is how long a starting host waits for the values that its peers have,
	// once the publisher answers one of them, before it reads all of them itself.
	peerCopyTimeout = 3 * time.Second
	// watchBatchDelay batches changes in quick succession, as when many servers start. It is
	// short compared with the 2 s in which a change must be in force.
	watchBatchDelay = 200 * time.Millisecond
)

// peerSpaces maps the publisher's spaces to those of the peer protocol.
var peerSpaces = map[publisher.Space]peerpb.Space{
	publisher.SpaceConfiguration: peerpb.Space_SPACE_CONFIGURATION,
	publisher.SpaceHosts:         peerpb.Space_SPACE_HOSTS,
}

// applyAndSpread applies entries from the publisher and gossips them.
func (n *Node) applyAndSpread(space publisher.Space, entries []published.Entry) {
	if len(entries) == 0 {
		return
	}
	n.refresh()
	n.gossip.Spread(peerSpaces[space], entries)
}

// setPublisherAnswers records whether the publisher answers, and announces a change to peers
// at once, so that the hosts that it answers do the reading.
func (n *Node) setPublisherAnswers(space publisher.Space, answers bool) {
	if !n.view.SetReads(n.readStatus.set(space, answers)) {
		return
	}
	n.log.WithField("reads", n.view.Self().Reads).Info("announcing to peers whether the platform answers")
	n.gossip.Announce(n.ctx, announceFanout)
}

func (n *Node) newWatcher(space publisher.Space, store publisher.Store) *publisher.Watcher {
	return publisher.NewWatcher(publisher.WatcherOptions{
		Source:    n.options.Source,
		Space:     space,
		Store:     store,
		MustWatch: func() bool { return n.mustWatch(space) },
		AwaitPeers: func(ctx context.Context, yield func()) published.Position {
			return n.waitForPeerCopy(ctx, space, yield)
		},
		Through:     func() published.Position { return store.Summary().Complete() },
		OnAnswering: func(answers bool) { n.setPublisherAnswers(space, answers) },
		Accepted:    func(entries []published.Entry) { n.applyWatched(space, entries) },
		OnChanges: func(after, through published.Position, entries []published.Entry) {
			if space == publisher.SpaceHosts {
				n.noteVersions(entries)
			}
			n.pushChanges(space, peer.Changes{After: after, Through: through, Entries: entries})
		},
		OnUnavailable: func() { n.serverTable.publisherLost(time.Now()) },
		OnAvailable:   func() { n.serverTable.publisherRecovered(time.Now()) },
		Log:           n.log,
		Random:        childRandom(n.random),
		MaxBackoff:    maxBackoff,
		Pause:         watchBatchDelay,
	})
}

// applyWatched applies entries received by a watch, and gossips them unless the watching hosts
// push them directly to all others.
func (n *Node) applyWatched(space publisher.Space, entries []published.Entry) {
	if n.isDirect(peerSpaces[space]) {
		n.refresh()
		return
	}
	n.applyAndSpread(space, entries)
}

// pushChanges pushes changes received by a watch to this host's share of the fleet.
func (n *Node) pushChanges(space publisher.Space, changes peer.Changes) {
	if n.isDirect(peerSpaces[space]) {
		n.gossip.PushChanges(peerSpaces[space], changes, peer.ElectedEverywhere(n.view, string(space), watchersPerZone))
	}
}

// isDirect reports whether the hosts that watch a space push its changes directly to all
// others. In a small fleet all hosts watch, and configurations are too large to be pushed.
func (n *Node) isDirect(space peerpb.Space) bool {
	return space == peerpb.Space_SPACE_HOSTS && n.isLarge()
}

// isLarge reports whether the fleet is so large that only some of the hosts watch.
func (n *Node) isLarge() bool {
	known := n.hostCache.current()
	return max(known.live, known.owners.Count()) > maxAllWatch
}

// waitForPeerCopy waits until peers have sent all of a space that other hosts watch, and
// returns its position, or the zero position; see publisher.WatcherOptions. While the publisher
// answers none of the peers, they have nothing to send, and there is nothing to read either.
func (n *Node) waitForPeerCopy(ctx context.Context, space publisher.Space, yield func()) published.Position {
	select {
	case <-ctx.Done():
		return published.Position{}
	case <-n.settled:
	}
	store := n.stores[space]
	var readableSince time.Time
	for ctx.Err() == nil && !n.isWatcher(space) {
		yield()
		if through := store.Summary().Complete(); through.Revision > 0 {
			return through
		}
		if readableSince.IsZero() && n.hostCache.current().readers > 0 {
			readableSince = time.Now()
		}
		if !readableSince.IsZero() && time.Since(readableSince) >= peerCopyTimeout {
			return published.Position{}
		}
		sleep(ctx, readyCheckInterval)
	}
	return published.Position{}
}

// isWatcher reports whether the node is elected to watch a space, according to the view.
func (n *Node) isWatcher(space publisher.Space) bool {
	return !n.isLarge() || n.hostCache.elections.Elected(string(space), watchersPerZone)
}

// mustWatch reports whether the node has to watch a space. A node that does not know the
// others yet waits until it does: otherwise each of 295 that start together would believe the
// fleet to be small.
func (n *Node) mustWatch(space publisher.Space) bool {
	if !n.readStatus.isAnswered(space) {
		return true
	}
	return n.isSettled() && n.isWatcher(space)
}
