// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/versionlog"
)

// maxServedVersions limits the versions in one answer.
const maxServedVersions = 4096

// ServedVersions asks a node which software versions backend servers have had.
func (g *Gossip) ServedVersions(ctx context.Context, address netip.AddrPort) (versionlog.Report, error) {
	reply, err := g.client(address).Versions(ctx, &peerpb.VersionsRequest{})
	if err != nil {
		return versionlog.Report{}, fmt.Errorf("peer: ask for the versions of servers: %w", err)
	}
	if len(reply.GetVersions()) > maxServedVersions {
		return versionlog.Report{}, fmt.Errorf("peer: %d versions of servers, at most %d are allowed", len(reply.GetVersions()), maxServedVersions)
	}
	r := versionlog.Report{Observed: milliseconds(reply.GetObservedMs())}
	for _, m := range reply.GetVersions() {
		r.Versions = append(r.Versions, versionlog.Seen{
			Service: m.GetService(), Version: m.GetVersion(), Ago: milliseconds(m.GetRemovedMs()),
		})
	}
	return r, nil
}

// milliseconds converts a duration of another node, which is limited so that it can't overflow.
func milliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(time.Hour.Milliseconds()))) * time.Millisecond
}

// Versions returns which software versions backend servers have had, as far as this node knows.
func (s *service) Versions(context.Context, *peerpb.VersionsRequest) (*peerpb.VersionsReply, error) {
	if s.g.options.Versions == nil {
		return &peerpb.VersionsReply{}, nil
	}
	r := s.g.options.Versions()
	reply := &peerpb.VersionsReply{ObservedMs: uint64(r.Observed.Milliseconds())}
	for _, v := range r.Versions[:min(len(r.Versions), maxServedVersions)] {
		reply.Versions = append(reply.Versions, &peerpb.ServedVersion{
			Service: v.Service, Version: v.Version, RemovedMs: uint64(v.Ago.Milliseconds()),
		})
	}
	return reply, nil
}
