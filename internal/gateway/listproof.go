// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/peer"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/publisher"
)

const (
	// listProofTimeout limits one attempt to prove that the list of servers is current.
	listProofTimeout = 200 * time.Millisecond
	// listReportGrace is how long the reports of other hosts are awaited once the publisher has confirmed the
	// list: they may know of servers that joined and left while this host was out of touch.
	listReportGrace = 50 * time.Millisecond
	// listConfirmTimeout limits the confirmation by other hosts. If they don't answer, this host asks the publisher
	// itself, also in a large fleet.
	listConfirmTimeout = 100 * time.Millisecond
	// listConfirmers is how many other hosts are asked to confirm the list with the publisher.
	listConfirmers = 3
	// maxSilentAsked is how many hosts that were found to be silent may be asked in a large fleet.
	maxSilentAsked = 24
)

// listProof is what proves that the list of servers is as new as the start of a check.
type listProof string

const (
	// proofNone means that servers may have joined that this host does not know of.
	proofNone listProof = ""
	// proofPublisher means that the publisher answered this host.
	proofPublisher listProof = "publisher"
	// proofConfirmer means that the publisher answered another host, whose list this host has.
	proofConfirmer listProof = "confirmer"
	// proofAllHosts means that all other hosts told which versions they know: a stream can't have begun at a
	// version that none of them knows.
	proofAllHosts listProof = "all_hosts"
)

// proveList brings the record of software versions up to date, and returns what proves that it is.
func (n *Node) proveList(ctx context.Context) listProof {
	ctx, cancel := context.WithTimeout(ctx, listProofTimeout)
	defer cancel()
	begun := time.Now()
	confirmed, reported := make(chan listProof, 1), make(chan bool, 1)
	go func() { confirmed <- n.confirmList(ctx, begun) }()
	go func() { reported <- n.collectVersions(ctx) }()
	var all bool
	select {
	case all = <-reported:
		if all && !n.view.Self().Reads {
			return proofAllHosts
		}
		if proof := <-confirmed; proof != proofNone {
			return proof
		}
	case proof := <-confirmed:
		if proof != proofNone {
			grace := time.NewTimer(listReportGrace)
			defer grace.Stop()
			select {
			case <-reported:
			case <-grace.C:
			}
			return proof
		}
		all = <-reported
	}
	if all {
		return proofAllHosts
	}
	return proofNone
}

// confirmList confirms that the list of servers was current at a time with the publisher, by way of other hosts
// if it doesn't answer this one or this one does not watch it.
func (n *Node) confirmList(ctx context.Context, begun time.Time) listProof {
	watches := n.isWatcher(publisher.SpaceHosts)
	if watches && n.view.Self().Reads && n.listPoll.result(ctx, begun) {
		return proofPublisher
	}
	confirmers := slices.DeleteFunc(peer.ElectedEverywhere(n.view, string(publisher.SpaceHosts), confirmersPerZone), func(m fleet.Member) bool {
		return m.Address == n.settings.Callers
	})
	confirmers = confirmers[:min(len(confirmers), listConfirmers)]
	results := make(chan bool, len(confirmers))
	confirming, cancel := context.WithTimeout(ctx, listConfirmTimeout)
	defer cancel()
	for _, m := range confirmers {
		go func() { results <- n.gossip.Confirm(confirming, peerpb.Space_SPACE_HOSTS, []fleet.Member{m}) }()
	}
	for range confirmers {
		if <-results {
			return proofConfirmer
		}
	}
	if n.listPoll.result(ctx, begun) {
		return proofPublisher
	}
	return proofNone
}

// pollList reads the changes of the list of servers since the position up to which this host has everything,
// and reports whether the publisher answered.
func (n *Node) pollList(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	through := n.listed.Summary().Complete()
	if through.Revision == 0 {
		return false
	}
	values, err := n.options.Source.Poll(ctx, publisher.SpaceHosts, through)
	if errors.Is(err, publisher.ErrCompacted) {
		return n.readList(ctx)
	}
	if err != nil {
		n.log.WithError(err).Info("failed to confirm the list of servers with the platform")
		return false
	}
	if values.Era != through.Era {
		return false
	}
	entries := values.Entries()
	n.noteVersions(entries)
	n.applyWatched(publisher.SpaceHosts, n.listed.Offer(entries...))
	n.listed.Complete(values.Position())
	return true
}

// readList is like pollList, but reads the whole list.
func (n *Node) readList(ctx context.Context) bool {
	values, err := n.options.Source.Read(ctx, publisher.SpaceHosts)
	if err == nil {
		err = publisher.CheckEra(n.listed, values)
	}
	if err != nil {
		n.log.WithError(err).Info("failed to confirm the list of servers with the platform")
		return false
	}
	n.applyWatched(publisher.SpaceHosts, n.listed.OfferListing(values.Listing()))
	return true
}

// noteVersions records the versions in changes of the list. A server that joined and left within one answer of
// the publisher is never in the list.
func (n *Node) noteVersions(changes []published.Entry) {
	for _, e := range changes {
		if e.Removed {
			continue
		}
		if s, err := n.options.DecodeServer(e.Key, e.Data); err == nil && s.InvalidReason == "" {
			n.versions.Saw(s.Service, s.Version)
		}
	}
}

// collectVersions asks other hosts which versions they know, and reports whether all of those answered that may
// know of servers. A host that refuses the connection has ended, and what it knew with it.
func (n *Node) collectVersions(ctx context.Context) bool {
	sources, all := n.versionSources()
	var asked sync.WaitGroup
	answered := make([]bool, len(sources))
	for i, m := range sources {
		asked.Go(func() {
			report, err := n.gossip.ServedVersions(ctx, m.Peer)
			answered[i] = err == nil || errors.Is(err, syscall.ECONNREFUSED)
			if err != nil {
				n.log.WithError(err).WithField("peer", m.Address).Debug("cannot ask a peer for the versions of servers")
				return
			}
			n.versions.Hear(report)
		})
	}
	asked.Wait()
	return all && !slices.Contains(answered, false)
}

// versionSources returns the hosts that may know of servers which this host doesn't, and whether these are all.
// In a large fleet hosts learn of servers from those that watch the publisher.
func (n *Node) versionSources() (sources []fleet.Member, all bool) {
	all = n.knownServing() > 0
	running := n.view.MayRun()
	if !n.isLarge() {
		return running, all
	}
	silent := slices.DeleteFunc(running, func(m fleet.Member) bool {
		return m.State == fleet.StateLive || m.State == fleet.StateLeaving
	})
	if len(silent) > maxSilentAsked {
		silent, all = nil, false
	}
	watching := slices.DeleteFunc(peer.ElectedEverywhere(n.view, string(publisher.SpaceHosts), watchersPerZone), func(m fleet.Member) bool {
		return m.Address == n.settings.Callers
	})
	return append(watching, silent...), all
}
