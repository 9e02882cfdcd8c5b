// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/reach"
)

const (
	// linkInterval is how often the links are reviewed, doubtInterval while their state is unclear.
	linkInterval  = 200 * time.Millisecond
	doubtInterval = 50 * time.Millisecond
	// askInterval is the time between two requests for the contacts of other hosts while the host
	// is doubtful, isolatedAskInterval while it is isolated.
	askInterval         = 200 * time.Millisecond
	isolatedAskInterval = time.Second
	// askFanout is the number of hosts that are asked while the host is doubtful, isolatedAskFanout
	// while it is isolated: few hosts may be in touch, and all isolated ones ask them.
	askFanout         = 8
	isolatedAskFanout = 3
	// linkProbeTimeout limits a probe of a backend server.
	linkProbeTimeout = 400 * time.Millisecond
	// contactLifetime is for how long the contacts of other hosts are considered.
	contactLifetime = 5 * time.Second
	// answerLifetime is for how long an answer shows that open connections live on.
	answerLifetime = time.Second
	// helpInterval is the age from which this host renews its own contact when another host asks.
	helpInterval = 250 * time.Millisecond
)

// linkObserver passes what connections show to the detector.
type linkObserver struct{ detector *reach.Detector }

// Connected records a successful attempt to connect.
func (o linkObserver) Connected(address netip.AddrPort, began time.Time) {
	o.detector.RecordConnect(time.Now(), began, address, true)
}

// Unconnected records a failed attempt to connect.
func (o linkObserver) Unconnected(address netip.AddrPort, began time.Time) {
	o.detector.RecordConnect(time.Now(), began, address, false)
}

// Answered records an answer.
func (o linkObserver) Answered(address netip.AddrPort) {
	o.detector.RecordAnswer(time.Now(), address)
}

// Silent records a call that is overdue.
func (o linkObserver) Silent(address netip.AddrPort, began time.Time) {
	o.detector.RecordSilence(time.Now(), began, address)
}

// linkMonitor keeps track of the links to the backend servers.
type linkMonitor struct {
	node     *Node
	detector *reach.Detector
	// unreachable reports whether no host is known to reach a backend server.
	unreachable atomic.Bool
	// askedAt is when the contacts of other hosts were requested last; only run uses it.
	askedAt time.Time
	// isolated is the state that was last announced; only run uses it.
	isolated bool
	// tasks tracks the probes and requests in progress; only run adds to it.
	tasks sync.WaitGroup
	done  chan struct{}
}

func newLinkMonitor(n *Node, detector *reach.Detector) *linkMonitor {
	return &linkMonitor{node: n, detector: detector, done: make(chan struct{})}
}

// run reviews the links until ctx is cancelled.
func (m *linkMonitor) run(ctx context.Context) {
	defer close(m.done)
	defer m.tasks.Wait()
	timer := time.NewTimer(linkInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.detector.Wake():
		case <-timer.C:
		}
		timer.Reset(m.review(ctx))
	}
}

// review updates the state and returns the time until the next review.
func (m *linkMonitor) review(ctx context.Context) time.Duration {
	now := time.Now()
	before := m.detector.State(now)
	m.probe(ctx, m.detector.Step(now, m.contacts(now, before)))
	state := m.detector.State(now)
	m.setUnreachable(state.Unreachable)
	if state.Isolated != m.isolated {
		m.announce(ctx, now, state)
	}
	switch {
	case state.Isolated:
		m.ask(ctx, now, isolatedAskInterval, isolatedAskFanout)
	case state.Doubtful:
		m.ask(ctx, now, askInterval, askFanout)
	default:
		m.help(ctx, now)
		return linkInterval
	}
	return doubtInterval
}

// contacts returns the contacts of other hosts if the state requires them.
func (m *linkMonitor) contacts(now time.Time, state reach.State) []reach.Contact {
	if !state.Isolated && !state.Doubtful {
		return nil
	}
	var contacts []reach.Contact
	for _, r := range m.node.view.ReachedSince(now.Add(-contactLifetime)) {
		contacts = append(contacts, reach.Contact{Server: r.Server, At: r.At})
	}
	return contacts
}

// probe opens a connection to each of the servers.
func (m *linkMonitor) probe(ctx context.Context, servers []netip.AddrPort) {
	m.node.options.Scope.Counter("link_probes").Inc(int64(len(servers)))
	for _, address := range servers {
		m.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, linkProbeTimeout)
			defer cancel()
			// The observer of the pool records the result.
			_ = m.node.backends.Probe(ctx, address)
		})
	}
}

// ask requests the contacts of up to count other hosts, at most once in an interval.
func (m *linkMonitor) ask(ctx context.Context, now time.Time, interval time.Duration, count int) {
	if now.Sub(m.askedAt) < interval {
		return
	}
	m.askedAt = now
	m.tasks.Go(func() { m.node.gossip.AskContacts(ctx, count) })
}

// help renews the contact of this host if another one has asked for it.
func (m *linkMonitor) help(ctx context.Context, now time.Time) {
	if now.Sub(m.node.view.DoubtedAt()) >= 2*linkInterval {
		return
	}
	if latest, ok := m.detector.Latest(); ok && now.Sub(latest.At) < helpInterval {
		return
	}
	m.probe(ctx, m.detector.Sample(1))
}

// announce tells the other hosts that the state has changed.
func (m *linkMonitor) announce(ctx context.Context, now time.Time, state reach.State) {
	m.isolated = state.Isolated
	m.node.view.SetIsolated(state.Isolated)
	scope := m.node.options.Scope
	if state.Isolated {
		scope.Counter("links_lost").Inc(1)
		scope.Gauge("isolated").Update(1)
		m.node.log.WithFields(logrus.Fields{
			"failing": state.Failing, "servers": state.Servers, "since_ms": now.Sub(state.Since).Milliseconds(),
		}).Warn("lost the links to all backend servers")
	} else {
		scope.Gauge("isolated").Update(0)
		m.node.log.WithField("servers", state.Servers).Info("links to backend servers are back")
	}
	m.askedAt = now
	m.tasks.Go(func() { m.node.gossip.Announce(ctx, announceFanout) })
}

// setUnreachable records whether no host is known to reach a backend server.
func (m *linkMonitor) setUnreachable(unreachable bool) {
	if m.unreachable.Swap(unreachable) == unreachable {
		return
	}
	if unreachable {
		m.node.log.Warn("no host reaches any backend server")
		return
	}
	m.node.log.Info("some host may reach a backend server again")
}

// contact returns what this host tells others of its links.
func (m *linkMonitor) contact() fleet.Contact {
	now := time.Now()
	state := m.detector.State(now)
	c := fleet.Contact{Doubtful: state.Doubtful || state.Isolated}
	if latest, ok := m.detector.Latest(); ok {
		c.Server, c.Age = latest.Server, max(now.Sub(latest.At), 0)
	}
	return c
}

// Isolated reports whether this host has lost its links to all backend servers while another live
// host has not.
func (n *Node) Isolated() bool {
	return n.hostCache.current().isolated
}

// Unreachable reports whether neither this host nor, as far as it knows, any other live host reaches
// a backend server. Open connections may live on while new ones are refused.
func (n *Node) Unreachable() bool {
	if !n.links.unreachable.Load() && (!n.view.Self().Isolated || n.Isolated()) {
		return false
	}
	return !n.links.detector.AnsweredSince(time.Now().Add(-answerLifetime))
}

// apply applies changes of the servers to the detector. Servers that are closed are left
// out: they may accept no connections.
func (m *linkMonitor) apply(changes []change) {
	for _, c := range changes {
		if c.Old != nil {
			m.detector.Remove(c.Old.Address)
		}
	}
	for _, c := range changes {
		if c.New != nil && !c.New.Closed() {
			m.detector.Put(reach.Server{Address: c.New.Address, Service: c.New.Service, Zone: c.New.Zone})
		}
	}
}
