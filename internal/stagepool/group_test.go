// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wingvale/wingvale/internal/stageplan"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/stagepool"
	"github.com/wingvale/wingvale/verdict"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	spec  = stageplan.Spec{
		Service: "read", Size: 8, Slots: 1, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond,
		ResultCapacity: 39e6, ResultTTL: 4 * time.Second,
	}
)

func server(n int, zone string) stageplan.Server {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
	return stageplan.Server{Instance: fmt.Sprintf("s%d", n), Address: address, Zone: zone}
}

func work(request string, pieces int) stageplan.Work {
	w := stageplan.Work{Service: "read", Request: request, Latest: start.Add(time.Second), Deadline: start.Add(8 * time.Second)}
	for i := range pieces {
		w.Pieces = append(w.Pieces, i)
	}
	return w
}

// fleet is a set of hosts whose messages go directly to each other's handlers, and the
// driver of their stage servers.
type fleet struct {
	mu     sync.Mutex
	groups map[string]http.Handler
	// unresponsive is the set of hosts that accept messages and never answer.
	unresponsive map[string]bool
	calls        map[string]int
	freed        []string
	peers        []owner.Peer
	// queue is how many calls a server accepts at once, 0 for any number, and busy how many
	// it has. It refuses further calls as full, which full counts.
	queue int
	busy  map[string]int
	full  int
	// executing holds a semaphore for each server, which executes one call at a time.
	executing map[string]chan struct{}
}

// RoundTrip delivers a message to the handler of its host.
func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	h, unresponsive := f.groups[r.URL.Host], f.unresponsive[r.URL.Host]
	f.mu.Unlock()
	if unresponsive {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := &recorder{header: make(http.Header), status: http.StatusOK}
	h.ServeHTTP(w, r)
	return &http.Response{StatusCode: w.status, Header: w.header, Body: io.NopCloser(strings.NewReader(w.body.String()))}, nil
}

type recorder struct {
	header http.Header
	body   strings.Builder
	status int
}

func (r *recorder) Header() http.Header            { return r.header }
func (r *recorder) Write(part []byte) (int, error) { return r.body.Write(part) }
func (r *recorder) WriteHeader(status int)         { r.status = status }

// RunBatch executes all pieces in the time of one call.
func (f *fleet) RunBatch(_ context.Context, s stageplan.Server, items []stageplan.Item) ([]stageplan.Outcome, error) {
	if f.queue > 0 && !f.enter(s) {
		time.Sleep(time.Millisecond)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonRefused, "full")
	}
	f.work(s, len(items))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[s.Instance]++
	outcomes := make([]stageplan.Outcome, len(items))
	for i, item := range items {
		outcomes[i].Handle = s.Instance + "/" + item.Request
	}
	return outcomes, nil
}

// enter reserves one of the server's places for a call, and reports whether one was free.
func (f *fleet) enter(s stageplan.Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[s.Instance] >= f.queue {
		f.full++
		return false
	}
	f.busy[s.Instance]++
	return true
}

// work sleeps for the time of a call. If places are limited, the calls of a server run one
// after another.
func (f *fleet) work(s stageplan.Server, pieces int) {
	if f.queue == 0 {
		time.Sleep(spec.CallTime)
		return
	}
	f.mu.Lock()
	turn := f.executing[s.Instance]
	if turn == nil {
		turn = make(chan struct{}, 1)
		f.executing[s.Instance] = turn
	}
	f.mu.Unlock()
	turn <- struct{}{}
	time.Sleep(spec.CallTime + time.Duration(pieces)*spec.PieceTime)
	<-turn
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy[s.Instance]--
}

// Free records the handles of freed results.
func (f *fleet) Free(_ context.Context, _ stageplan.Server, handles []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, handles...)
	return nil
}

func newFleet(ctx context.Context, hosts int, servers ...stageplan.Server) (*fleet, []*stagepool.Group) {
	f := &fleet{groups: make(map[string]http.Handler), unresponsive: make(map[string]bool), calls: make(map[string]int), busy: make(map[string]int), executing: make(map[string]chan struct{})}
	for i := range hosts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 1)
		f.peers = append(f.peers, owner.Peer{Address: address, Control: netip.AddrPortFrom(address.Addr(), 2)})
	}
	var groups []*stagepool.Group
	for _, p := range f.peers {
		g := newGroup(ctx, f.peers, p, f, f)
		g.Configure(map[string]stageplan.Spec{"read": spec}, map[string][]stageplan.Server{"read": servers})
		_, f.groups[p.Control.String()] = g.Handler()
		groups = append(groups, g)
	}
	return f, groups
}

// newGroup returns the group of the host self among peers.
func newGroup(ctx context.Context, peers []owner.Peer, self owner.Peer, driver stagepool.Driver, transport http.RoundTripper) *stagepool.Group {
	log := logrus.New()
	log.SetOutput(io.Discard)
	hosts := owner.NewHosts(peers)
	return stagepool.New(ctx, stagepool.Options{
		Self: self.Address, Owners: owner.NewFinder(self.Address, func() *owner.Hosts { return hosts }), Driver: driver,
		HTTP: &http.Client{Transport: transport}, Log: log, Scope: tally.NoopScope,
	})
}

func ask(ctx context.Context, g *stagepool.Group, request, zone string) stagepool.Answer {
	w := work(request, 1)
	w.Zone = zone
	w.Latest, w.Deadline = time.Now().Add(time.Second), time.Now().Add(8*time.Second)
	return g.Run(ctx, w)
}

func TestCallsBatchPiecesOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, groups := newFleet(ctx, 4, server(1, "a"))
		var all sync.WaitGroup
		for i := range 32 {
			all.Go(func() {
				answer := ask(ctx, groups[i%len(groups)], string(rune('a'+i)), "")
				assert.Check(t, answer.Failure == "" && len(answer.Results) == 1)
			})
		}
		all.Wait()
		assert.Assert(t, f.calls["s1"] <= 6, "got %d calls for 32 pieces, want 8 in each", f.calls["s1"])
		cancel()
	})
}

func TestRunFallsBackWhenOwnerStopsResponding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, groups := newFleet(ctx, 3, server(1, "a"))
		owner := ask(ctx, groups[0], "x", "").Owner
		caller := groups[0]
		for i, p := range f.peers {
			if p.Address == owner {
				f.unresponsive[p.Control.String()] = true
				caller = groups[(i+1)%len(groups)]
			}
		}
		began := time.Now()
		answer := ask(ctx, caller, "y", "")
		assert.Equal(t, answer.Failure, stageplan.Failure(""))
		assert.Assert(t, time.Since(began) < 800*time.Millisecond, "took %v", time.Since(began))
		cancel()
	})
}

// Work without a zone must not be run by a separate pool with the servers of all zones, as
// its calls would collide at the servers with those of the zones' owners.
func TestEachServerHasOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var servers []stageplan.Server
		for i := range 30 {
			servers = append(servers, server(i+1, string(rune('a'+i%3))))
		}
		_, groups := newFleet(ctx, 4, servers...)
		var all sync.WaitGroup
		for i := range 60 {
			zone := []string{"", "a", "b", "c"}[i%4]
			all.Go(func() { ask(ctx, groups[i%len(groups)], string(rune('a'+i)), zone) })
		}
		all.Wait()
		owners := make(map[netip.AddrPort]int)
		for _, g := range groups {
			for _, pool := range g.State() {
				for _, s := range pool.Servers {
					owners[s.Address]++
				}
			}
		}
		for address, count := range owners {
			assert.Check(t, count == 1, "%v has %d owners", address, count)
		}
		cancel()
	})
}

// Work without a zone must not all be sent to the zone with the fewest servers.
func TestWorkWithoutZoneIsSpreadByCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		servers := []stageplan.Server{server(1, "a")}
		for i := range 24 {
			servers = append(servers, server(i+2, "b"))
		}
		f, groups := newFleet(ctx, 3, servers...)
		var all sync.WaitGroup
		for i := range 1000 {
			all.Go(func() { ask(ctx, groups[i%len(groups)], fmt.Sprint(i), "") })
			time.Sleep(2 * time.Millisecond)
		}
		all.Wait()
		calls := 0
		for _, count := range f.calls {
			calls += count
		}
		assert.Assert(t, f.calls["s1"]*12 < calls, "one of 25 servers has %d of %d calls", f.calls["s1"], calls)
		cancel()
	})
}

// When links are saturated, hosts consider a pool's owner failed and send calls themselves.
// If all choose the same servers, many calls are refused as full (6,899 of 15,127 in one
// run), and a piece that is retried every 40 ms fails after four attempts.
func TestPartitionedHostsShareServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, groups := newFleet(ctx, 6, server(1, "a"), server(2, "a"))
		f.queue = 3
		for _, p := range f.peers {
			f.unresponsive[p.Control.String()] = true
		}
		var all sync.WaitGroup
		var mu sync.Mutex
		failures := make(map[stageplan.Failure]int)
		for i := range 240 {
			all.Go(func() {
				answer := ask(ctx, groups[i%len(groups)], fmt.Sprint(i), "")
				mu.Lock()
				defer mu.Unlock()
				failures[answer.Failure]++
			})
			time.Sleep(25 * time.Millisecond)
		}
		all.Wait()
		calls := f.calls["s1"] + f.calls["s2"]
		t.Logf("%d calls found the server full, %d were made; outcomes %v", f.full, calls, failures)
		assert.Equal(t, failures[stageplan.FailureFailed], 0)
		assert.Assert(t, f.full < calls, "%d found it full, %d were made", f.full, calls)
		cancel()
	})
}
