// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/wingvale/wingvale/internal/option"
	"github.com/wingvale/wingvale/internal/origin"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
)

// Origins records which software versions of backend servers began streams. It is safe for concurrent
// use.
type Origins interface {
	// Keep stores versions that another node has sent.
	Keep(records []origin.Record)
	// Answer returns what this node knows of a stream.
	Answer(s origin.Stream) origin.Answer
}

// maxVersionBytes limits the name of a software version between nodes.
const maxVersionBytes = 256

// maxUpMilliseconds limits the time for which a node says that it has been up.
const maxUpMilliseconds = uint64(24 * time.Hour / time.Millisecond)

// SendOrigins sends a node the versions that began streams.
func (g *Gossip) SendOrigins(ctx context.Context, address netip.AddrPort, records []origin.Record) error {
	now := time.Now()
	request := &peerpb.KeepRequest{Streams: make([]*peerpb.StreamVersion, 0, len(records))}
	for _, r := range records {
		if len(r.Version) <= maxVersionBytes {
			age := min(max(now.Sub(r.RecordedAt).Milliseconds(), 0), math.MaxUint32)
			request.Streams = append(request.Streams, &peerpb.StreamVersion{Stream: uint64(r.Stream), Version: r.Version, AgeMs: uint32(age)})
		}
	}
	if _, err := g.client(address).Keep(ctx, request); err != nil {
		return fmt.Errorf("peer: send the versions of streams: %w", err)
	}
	return nil
}

// FindOrigin asks a node for the version that began a stream.
func (g *Gossip) FindOrigin(ctx context.Context, address netip.AddrPort, s origin.Stream) (origin.Answer, error) {
	reply, err := g.client(address).Origin(ctx, &peerpb.OriginRequest{Stream: uint64(s)})
	if err != nil {
		return origin.Answer{}, fmt.Errorf("peer: ask for the version of a stream: %w", err)
	}
	answer := origin.Answer{Up: time.Duration(min(reply.GetUpMs(), maxUpMilliseconds)) * time.Millisecond}
	if reply.GetKnown() {
		answer.Version = option.Some(reply.GetVersion())
	}
	return answer, nil
}

// Keep stores versions that began streams.
func (s *service) Keep(_ context.Context, in *peerpb.KeepRequest) (*peerpb.KeepReply, error) {
	origins := s.g.options.Origins
	if origins == nil {
		return &peerpb.KeepReply{}, nil
	}
	if len(in.GetStreams()) > origin.MaxRecords {
		return nil, twirp.InvalidArgumentError("streams", "too many")
	}
	now := time.Now()
	records := make([]origin.Record, 0, len(in.GetStreams()))
	for _, m := range in.GetStreams() {
		if len(m.GetVersion()) > maxVersionBytes {
			return nil, twirp.InvalidArgumentError("version", "too long")
		}
		records = append(records, origin.Record{
			Stream: origin.Stream(m.GetStream()), Version: m.GetVersion(),
			RecordedAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		})
	}
	origins.Keep(records)
	return &peerpb.KeepReply{}, nil
}

// Origin returns the version that began a stream, if this node knows it.
func (s *service) Origin(_ context.Context, in *peerpb.OriginRequest) (*peerpb.OriginReply, error) {
	origins := s.g.options.Origins
	if origins == nil {
		return &peerpb.OriginReply{}, nil
	}
	answer := origins.Answer(origin.Stream(in.GetStream()))
	version, known := answer.Version.Get()
	return &peerpb.OriginReply{Known: known, Version: version, UpMs: uint64(max(answer.Up.Milliseconds(), 0))}, nil
}
