// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package harness

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/node"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/settings"
)

// Node is one entry host of a site.
type Node struct {
	Caller netip.AddrPort
	Peer   netip.AddrPort
	Zone   string
	// Node is nil until the host is first started. After KillNode it is the stopped node.
	*node.Node
	cancel     context.CancelFunc
	startCount int
}

func (s *Site) addNode(i int) error {
	caller, err := s.options.Network.Address(firstNodeNumber+i, callerPort)
	if err != nil {
		return err
	}
	peer, err := s.options.Network.Address(firstNodeNumber+i, peerPort)
	if err != nil {
		return err
	}
	n := &Node{Caller: caller, Peer: peer, Zone: s.zoneFor(i)}
	s.nodes = append(s.nodes, n)
	host := published.Host{Address: caller, Peer: peer, Role: published.RoleEntry, Zone: n.Zone}
	if err := s.ListHost(host); err != nil {
		return err
	}
	return s.StartNode(i)
}

// StartNode starts the i-th entry host as a new incarnation at its address.
func (s *Site) StartNode(i int) error {
	n := s.nodes[i]
	callerListener, err := s.options.Network.Listen(n.Caller)
	if err != nil {
		return err
	}
	peerListener, err := s.options.Network.Listen(n.Peer)
	if err != nil {
		return err
	}
	o := node.Options{
		Settings:       s.nodeSettings(n),
		Log:            s.options.Log,
		Scope:          s.scope(),
		Dial:           s.options.Network.Dialer(n.Caller.Addr()),
		CallerListener: callerListener,
		PeerListener:   peerListener,
		Seed:           s.options.Seed + uint64(i)*1000 + uint64(n.startCount),
		Policy:         s.options.Policy,
		Table:          s.options.Table,
	}
	if m, ok := s.options.Network.(Memory); ok {
		o.BeforeTick = func() { m.AwaitUnfrozen(n.Caller.Addr()) }
	}
	n.startCount++
	n.Node = node.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func(running *node.Node) {
		if err := running.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			s.options.Log.WithError(err).Error("node stopped unexpectedly")
		}
	}(n.Node)
	return nil
}

func (s *Site) nodeSettings(n *Node) settings.Settings {
	st := settings.Default()
	st.Caller, st.Peer, st.Zone = n.Caller, n.Peer, n.Zone
	st.Platform = []netip.AddrPort{s.platformAddress}
	if s.options.Settings != nil {
		s.options.Settings(&st)
	}
	return st
}

// Nodes returns all entry hosts, whether they run or not.
func (s *Site) Nodes() []*Node {
	return s.nodes
}

func (s *Site) scope() tally.Scope {
	if s.options.Scope == nil {
		return tally.NoopScope
	}
	return s.options.Scope
}

// KillNode stops the i-th entry host at once, as a crash would, and waits until it has ended.
func (s *Site) KillNode(i int) {
	n := s.nodes[i]
	if m, ok := s.options.Network.(Memory); ok {
		m.Kill(n.Caller.Addr())
	}
	n.cancel()
	<-n.Done()
}

// AwaitReady waits until all nodes are ready. It returns an error if ctx is done before.
func (s *Site) AwaitReady(ctx context.Context) error {
	for _, n := range s.nodes {
		for !n.Dump().Ready {
			select {
			case <-ctx.Done():
				return fmt.Errorf("harness: node %s is not ready: %w", n.Caller, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}
