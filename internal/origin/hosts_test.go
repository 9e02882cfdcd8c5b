// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/origin"
	"github.com/wingvale/wingvale/request"
)

var errDown = errors.New("down")

const (
	// callTime is the time of a call between two hosts, one way.
	callTime = 250 * time.Microsecond
	// lossTime is how long it takes to notice that a host is gone, and maxLag until news is everywhere.
	lossTime = 1500 * time.Millisecond
	maxLag   = 400 * time.Millisecond
)

// run is one run of a host.
type run struct {
	host  origin.Host
	group *origin.Group
	stop  context.CancelFunc
	// lag is how late the host learns of others.
	lag time.Duration

	mu sync.Mutex
	// seen is the version of the fleet's view that hosts was made of.
	seen    int
	hosts   *origin.Hosts
	leaving bool
}

// view is the set of hosts from a time on, as a host without lag sees it.
type view struct {
	at    time.Time
	hosts []origin.Host
}

// hosts are several hosts that are connected to each other.
type hosts struct {
	peers []origin.Host

	// mu guards what follows. alive has the current runs, and listed what is known of them.
	mu     sync.Mutex
	random *rand.Rand
	alive  map[netip.AddrPort]*run
	listed map[netip.AddrPort]origin.Host
	views  []view
	runs   uint64
	// stored counts the calls that send versions, sentRecords their records, and asked those that ask for
	// one.
	stored, sentRecords, asked int
}

func newHosts(ctx context.Context, count int) *hosts {
	h := &hosts{
		alive: make(map[netip.AddrPort]*run), listed: make(map[netip.AddrPort]origin.Host),
		random: rand.New(rand.NewPCG(1, uint64(count))),
	}
	for i := range count {
		zone := i%3 + 1
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(i >> 8), byte(i)}), 1)
		h.peers = append(h.peers, origin.Host{Address: address, Control: address, Zone: fmt.Sprint("zone-", zone)})
	}
	for _, p := range h.peers {
		h.start(ctx, p)
	}
	h.views = nil
	h.mu.Lock()
	h.publish()
	h.views[0].at = time.Now().Add(-time.Minute)
	h.mu.Unlock()
	return h
}

// randomIndex returns a random number from 0 to below n.
func (h *hosts) randomIndex(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// shuffle orders names at random.
func (h *hosts) shuffle(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.random.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
}

// publish makes the listed hosts the newest view. The mutex must be held.
func (h *hosts) publish() {
	h.views = append(h.views, view{at: time.Now(), hosts: slices.Collect(maps.Values(h.listed))})
}

// start starts a host, which knows nothing.
func (h *hosts) start(ctx context.Context, p origin.Host) {
	ctx, cancel := context.WithCancel(ctx)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.mu.Lock()
	h.runs++
	p.Incarnation = request.Incarnation(h.runs)
	r := &run{host: p, stop: cancel, lag: time.Duration(h.random.Int64N(int64(maxLag))), seen: -1}
	h.mu.Unlock()
	r.group = origin.New(origin.Options{
		Context: ctx, Self: p.Address, Log: log, Scope: tally.NoopScope,
		Hosts: func() *origin.Hosts { return h.seenBy(r) },
		Store: func(ctx context.Context, peer netip.AddrPort, records []origin.Record) error {
			h.count(&h.stored, 1)
			h.count(&h.sentRecords, len(records))
			to, err := h.call(ctx, peer)
			if err == nil {
				to.Keep(records)
				err = h.answer(ctx)
			}
			return err
		},
		Find: func(ctx context.Context, peer netip.AddrPort, s origin.Stream) (origin.Answer, error) {
			h.count(&h.asked, 1)
			to, err := h.call(ctx, peer)
			if err != nil {
				return origin.Answer{}, err
			}
			answer := to.Answer(s)
			return answer, h.answer(ctx)
		},
	})
	h.mu.Lock()
	h.alive[p.Address], h.listed[p.Address] = r, p
	h.publish()
	h.mu.Unlock()
	go r.group.Run(ctx)
}

func (h *hosts) count(counter *int, by int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*counter += by
}

// call waits until a call has reached a host, and returns its group. A host that is down doesn't answer.
func (h *hosts) call(ctx context.Context, peer netip.AddrPort) (*origin.Group, error) {
	if err := h.answer(ctx); err != nil {
		return nil, err
	}
	h.mu.Lock()
	r := h.alive[peer]
	h.mu.Unlock()
	if r == nil {
		<-ctx.Done()
		return nil, errDown
	}
	return r.group, nil
}

// answer waits as long as a message takes, and fails if its sender has ended meanwhile.
func (h *hosts) answer(ctx context.Context) error {
	select {
	case <-time.After(callTime):
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// seenBy returns the hosts as a host sees them.
func (h *hosts) seenBy(r *run) *origin.Hosts {
	h.mu.Lock()
	newest := 0
	for i := range h.views {
		if !h.views[i].at.Add(r.lag).After(time.Now()) {
			newest = i
		}
	}
	all := h.views[newest].hosts
	h.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == newest {
		return r.hosts
	}
	self := r.host
	self.Leaving = r.leaving
	seen := []origin.Host{self}
	for _, o := range all {
		if o.Address != r.host.Address {
			seen = append(seen, o)
		}
	}
	r.seen, r.hosts = newest, origin.NewHosts(self.Address, seen)
	return r.hosts
}

// at returns the running group of a host; nil if it is down.
func (h *hosts) at(p origin.Host) *origin.Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.alive[p.Address]; r != nil {
		return r.group
	}
	return nil
}

// end ends the process of a host at once, and returns its run.
func (h *hosts) end(p origin.Host) *run {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.alive[p.Address]
	delete(h.alive, p.Address)
	r.stop()
	return r
}

// kill ends the process of a host. Others notice it after lossTime.
func (h *hosts) kill(p origin.Host) {
	r := h.end(p)
	time.AfterFunc(lossTime, func() { h.remove(r) })
}

// remove makes a run of a host known to be gone.
func (h *hosts) remove(r *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed[r.host.Address].Incarnation == r.host.Incarnation {
		delete(h.listed, r.host.Address)
		h.publish()
	}
}

// leave stops a host in an orderly way: it is known to leave, and its process ends after a while, but not
// before the host has handed on what it knows, if that takes no longer than a second more.
func (h *hosts) leave(p origin.Host, after time.Duration) {
	h.mu.Lock()
	r := h.alive[p.Address]
	listed := h.listed[p.Address]
	listed.Leaving = true
	h.listed[p.Address] = listed
	h.publish()
	h.mu.Unlock()
	r.mu.Lock()
	r.leaving, r.seen = true, -1
	r.mu.Unlock()
	r.group.Sync()
	time.Sleep(after)
	for range 100 {
		if r.group.HandedOn() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.remove(h.end(p))
}

// up returns the hosts that are running.
func (h *hosts) up() []origin.Host {
	var up []origin.Host
	for _, p := range h.peers {
		if h.at(p) != nil {
			up = append(up, p)
		}
	}
	return up
}

// streams are streams that were begun at several hosts.
type streams struct {
	versions map[string]string
	names    []string
}

// begin begins a stream at a host.
func (s *streams) begin(h *hosts, at origin.Host) {
	if s.versions == nil {
		s.versions = make(map[string]string)
	}
	name := fmt.Sprint("s-", len(s.names))
	version := fmt.Sprint("v", len(s.names)%2)
	s.names, s.versions[name] = append(s.names, name), version
	h.at(at).Record(name, version)
}

// found counts what hosts find out about streams.
type found struct {
	right, wrong, unknown, unproved int
}

// find takes all streams up at random hosts.
func (s *streams) find(ctx context.Context, h *hosts, at []origin.Host) found {
	return s.findNames(ctx, h, at, s.names)
}

// findNames is like find for some of the streams. A host that finds one knows it from then on.
func (s *streams) findNames(ctx context.Context, h *hosts, at []origin.Host, names []string) found {
	var f found
	for _, name := range names {
		var g *origin.Group
		for g == nil {
			g = h.at(at[h.randomIndex(len(at))])
		}
		f.add(g.Look(ctx, name), s.versions[name])
	}
	return f
}

func (f *found) add(got origin.Finding, want string) {
	version, known := got.Version.Get()
	switch {
	case known && version == want:
		f.right++
	case known:
		f.wrong++
	case got.Evidence == origin.EvidenceNone:
		f.unknown++
	default:
		f.unproved++
	}
}

// check checks that at least a share of the streams is found, and that none is denied or mixed up.
func (f found) check(t *testing.T, streams int, share float64) {
	t.Helper()
	assert.Check(t, float64(f.right) >= share*float64(streams), "%d streams: %+v", streams, f)
	assert.Equal(t, f.wrong+f.unknown, 0, "%+v", f)
}
