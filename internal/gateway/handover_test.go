// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/internal/gateway"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/publisher"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/stagepool"
)

// noSource is a publisher that does not answer.
type noSource struct{}

func (noSource) Read(ctx context.Context, _ publisher.Space) (publisher.Values, error) {
	<-ctx.Done()
	return publisher.Values{}, ctx.Err()
}

func (s noSource) Watch(ctx context.Context, space publisher.Space, _ published.Position) (publisher.Values, error) {
	return s.Read(ctx, space)
}

func (s noSource) Poll(ctx context.Context, space publisher.Space, _ published.Position) (publisher.Values, error) {
	return s.Read(ctx, space)
}

// signedDialect accepts every answer.
type signedDialect struct{}

func (signedDialect) Header(r *relay.Request, _ relay.ForwardInfo) http.Header {
	return r.Header.Clone()
}
func (signedDialect) Matches(string, int, http.Header) bool { return true }
func (signedDialect) StatusTarget() string                  { return "" }

func (signedDialect) Head(string, int, http.Header) relay.Head { return relay.Head{Signed: true} }

// textSink records the body of an answer.
type textSink struct{ strings.Builder }

func (*textSink) OmitEnd()               {}
func (*textSink) Start(int, http.Header) {}
func (s *textSink) Write(part []byte) error {
	_, err := s.Builder.Write(part)
	return err
}

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 2)
}

// startNode runs a node with one backend server until ctx is cancelled.
func startNode(ctx context.Context, t *testing.T, network *memnet.Network, i int, backend netip.AddrPort) *gateway.Node {
	t.Helper()
	began := time.Now()
	s := settings.DefaultGateway()
	s.Callers, s.Peer, s.Zone = netip.AddrPortFrom(peerAddress(i).Addr(), 1), peerAddress(i), "a"
	s.Seeds = []netip.AddrPort{peerAddress(1), peerAddress(2)}
	n := gateway.New(gateway.Options{
		Settings: s, Log: discardLog(), Scope: tally.NoopScope, Dial: network.Dialer(s.Peer.Addr()), Source: noSource{},
		ConfigurationKey: configurationKey,
		DecodeDirective: func(string, []byte) (gateway.Directive, error) {
			route := relay.Route{
				Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 1, Public: true,
				Targets: []relay.Target{{Service: "s", Weight: 1}},
			}
			return gateway.Directive{Catalog: relay.NewCatalog(1, []relay.Route{route}, []relay.Service{{Name: "s"}}, nil, relay.Limits{})}, nil
		},
		DecodeServer: func(string, []byte) (relay.Server, error) {
			return relay.Server{Instance: "s-1", Service: "s", Address: backend, Zone: "a", Slots: 8}, nil
		},
		Dialect:     signedDialect{},
		StageDriver: func(*exchange.Pool, *notice.Registry) stagepool.Driver { return nil },
		SinceBoot:   func() time.Duration { return time.Since(began) }, Seed: uint64(i),
	})
	n.Offer(published.Entry{Key: configurationKey, Revision: 1, Data: []byte("{}")})
	n.OfferServers(published.Entry{Key: "servers/s-1", Revision: 1, Data: []byte("{}")})
	l, err := network.Listen(s.Peer)
	assert.NilError(t, err)
	go func() { assert.Check(t, n.Run(ctx, l)) }()
	return n
}

// Callers of a host without a link to any backend server used to be refused in the end.
func TestIsolatedNodeServesThroughAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(nil)
		backend := netip.MustParseAddrPort("10.2.0.1:80")
		l, err := network.Listen(backend)
		assert.NilError(t, err)
		var runs atomic.Int32
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			_, _ = io.WriteString(w, "answer")
		})}
		go func() { _ = server.Serve(l) }()
		ctx, cancel := context.WithCancel(t.Context())
		nodes := []*gateway.Node{startNode(ctx, t, network, 1, backend), startNode(ctx, t, network, 2, backend)}
		defer func() {
			cancel()
			for _, n := range nodes {
				<-n.Done()
			}
			_ = server.Close()
			network.HealAll()
			time.Sleep(time.Minute)
		}()
		time.Sleep(3 * time.Second)
		network.Cut(peerAddress(1).Addr(), backend.Addr())
		nodes[0].ReportIsolated(true)
		request := &relay.Request{ID: "1", Method: http.MethodPost, Target: "/", Path: "/", Host: "h", Header: http.Header{}, Arrived: time.Now()}
		var sink textSink
		assert.NilError(t, nodes[0].Serve(t.Context(), request, &sink))
		assert.Equal(t, sink.String(), "answer")
		assert.Equal(t, runs.Load(), int32(1))
		assert.Assert(t, time.Since(request.Arrived) < 100*time.Millisecond)
		nodes[1].Leave(ctx, time.Now(), time.Now())
		time.Sleep(time.Second)
		request.Arrived = time.Now()
		err = nodes[0].Serve(t.Context(), request, &sink)
		assert.Assert(t, err != nil && !errors.Is(err, relay.ErrCut), "a host that leaves took a request: %v", err)
		assert.Equal(t, runs.Load(), int32(1))
	})
}
