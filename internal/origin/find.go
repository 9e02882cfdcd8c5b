// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/option"
)

const (
	// askedHosts is how many hosts are asked for the version of a stream. It exceeds copies by one,
	// because a host that has started meanwhile may rank above those that keep it.
	askedHosts = copies + 1
	// findTimeout limits one call to another host.
	findTimeout = 200 * time.Millisecond
)

// Evidence is what an answer about the version of a stream rests on.
type Evidence int

const (
	// EvidenceMissing means that no host knows the version, but some that may know were not reached or
	// have started lately.
	EvidenceMissing Evidence = iota
	// EvidenceNone means that no host knows the version, though all that would know have been up since
	// before any stream that may still be taken up.
	EvidenceNone
	// EvidenceMemory means that the host itself knows the version.
	EvidenceMemory
	// EvidenceKeeper means that another host knows the version.
	EvidenceKeeper
)

var evidenceNames = [...]string{"missing", "none", "memory", "keeper"}

var evidenceCounters = [...]string{
	"stream_versions_unproved", "stream_versions_unknown", "stream_versions_found_here", "stream_versions_found_at_keepers",
}

// String returns the name of the evidence.
func (e Evidence) String() string {
	return evidenceNames[e]
}

// Finding is what is found out about the version that began a stream.
type Finding struct {
	// Version is present if Evidence is EvidenceMemory or EvidenceKeeper.
	Version  option.Value[string]
	Evidence Evidence
}

// Answer is what a host answers about the version of a stream.
type Answer struct {
	Version option.Value[string]
	// Up is how long the host has been up.
	Up time.Duration
}

// Answer returns what this host knows of a stream.
func (g *Group) Answer(s Stream) Answer {
	return Answer{Version: g.Known(s), Up: time.Since(g.start)}
}

// Find returns the version that began a stream, if this host or one of those that may keep it knows it.
func (g *Group) Find(ctx context.Context, attempt string) option.Value[string] {
	return g.Look(ctx, attempt).Version
}

// Look is like Find, and also returns what the answer rests on.
func (g *Group) Look(ctx context.Context, attempt string) Finding {
	s := StreamOf(attempt)
	f := g.look(ctx, s)
	g.options.Scope.Counter(evidenceCounters[f.Evidence]).Inc(1)
	version, _ := f.Version.Get()
	g.options.Log.WithFields(logrus.Fields{"attempt": attempt, "evidence": f.Evidence.String(), "version": version}).Debug("looked for the version of a stream")
	return f
}

func (g *Group) look(ctx context.Context, s Stream) Finding {
	if known := g.Known(s); known.IsPresent() {
		return Finding{Version: known, Evidence: EvidenceMemory}
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	asked, proof := g.mayKnow(s.group())
	answers := make(chan hostAnswer, len(asked))
	for _, h := range asked {
		go func() {
			answer, err := g.options.Find(ctx, h.Control, s)
			if err != nil {
				g.options.Log.WithError(err).WithField("peer", h.Address).Debug("cannot ask a peer for the version of a stream")
			}
			answers <- hostAnswer{Answer: answer, address: h.Address}
		}()
	}
	g.options.Scope.Counter("stream_versions_asked").Inc(int64(len(asked)))
	for range asked {
		answer := <-answers
		if version, ok := answer.Version.Get(); ok {
			g.Keep([]Record{{Stream: s, Version: version, RecordedAt: time.Now()}})
			return Finding{Version: answer.Version, Evidence: EvidenceKeeper}
		}
		proof.add(answer)
	}
	if proof.complete(time.Since(g.start)) {
		return Finding{Evidence: EvidenceNone}
	}
	return Finding{Evidence: EvidenceMissing}
}

// hostAnswer is the answer of a host; zero if it was not reached.
type hostAnswer struct {
	Answer
	address netip.AddrPort
}

// proof tells whether answers prove that no host ever knew a stream.
type proof struct {
	// keepers are those that would have kept the stream since it began.
	keepers []netip.AddrPort
	// denied counts those of them that have been up since and don't know the stream.
	denied int
}

func (p *proof) add(a hostAnswer) {
	if a.Up >= retention && slices.Contains(p.keepers, a.address) {
		p.denied++
	}
}

// complete reports whether the proof is complete for a host that has been up for some time itself.
func (p *proof) complete(up time.Duration) bool {
	return up >= retention && p.denied >= min(enoughCopies, len(p.keepers))
}

// mayKnow returns the hosts to ask for the version of a stream: the keepers, and those that were until
// recently. It also returns a proof without answers.
func (g *Group) mayKnow(of group) ([]Host, proof) {
	hosts, now := g.options.Hosts(), time.Now()
	candidates := others(hosts.best(of), g.options.Self, askedHosts)
	if now.Sub(g.start) < lookBacks[len(lookBacks)-1] {
		// Before others have sent this host what it lacks, those that leave may still be the only ones.
		candidates = append(candidates, others(hosts.bestLeaving(of), g.options.Self, askedHosts)...)
	}
	g.mu.Lock()
	for _, lately := range g.sightings.lately(now) {
		candidates = append(candidates, others(lately.best(of), g.options.Self, askedHosts)...)
	}
	past, gone := others(g.sightings.past.best(of), g.options.Self, copies), g.sightings.gone
	g.mu.Unlock()
	var keepers []netip.AddrPort
	for _, h := range past {
		keepers = append(keepers, h.Address)
	}
	var asked []Host
	for _, h := range append(candidates, past...) {
		known := slices.ContainsFunc(asked, func(a Host) bool { return a.Address == h.Address })
		if !known && !gone[h.Address] {
			asked = append(asked, h)
		}
	}
	return asked, proof{keepers: keepers}
}

// others returns the first hosts other than this one.
func others(hosts []Host, self netip.AddrPort, count int) []Host {
	var first []Host
	for _, h := range hosts {
		if h.Address != self && len(first) < count {
			first = append(first, h)
		}
	}
	return first
}
