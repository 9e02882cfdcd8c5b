// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/peer"
)

const (
	// knownWithin is how long after the last start every host must know minKnownShare of the
	// fleet: owners of pools are elected among the hosts that a host knows.
	knownWithin   = 2 * time.Second
	minKnownShare = 0.99
	// startsWithin is the time within which all hosts of a fleet start.
	startsWithin = 500 * time.Millisecond
	// seedCount is how many hosts a starting host gets as seeds.
	seedCount = 3
	// seedRetryInterval is the interval at which a starting host contacts its seeds.
	seedRetryInterval = 100 * time.Millisecond
	// maxIdleBytes is how much a host may send a second while nothing changes.
	maxIdleBytes = 3 << 10
)

// largest adds the design size, which takes minutes and some GB under the race detector:
// go test ./internal/peer -run FleetThatStartsAtOnce -args -largest.
var largest = flag.Bool("largest", false, "start a fleet of the size designed for, too")

// largestCount is the number of hosts of the design size.
const largestCount = 560

// bootFleet is a fleet of hosts that know only their seeds when they start.
type bootFleet struct {
	direct  *directTransport
	all     []*testNode
	cancels []context.CancelFunc
	running sync.WaitGroup
}

// runBootFleet runs do with count hosts in a synctest bubble. Each host starts at a random time
// within startsWithin.
func runBootFleet(t *testing.T, count int, do func(t *testing.T, c *bootFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &bootFleet{direct: newDirectTransport(), all: make([]*testNode, count), cancels: make([]context.CancelFunc, count)}
		random := rand.New(rand.NewPCG(1, uint64(count)))
		for i := range c.all {
			c.start(t, i, time.Duration(random.Int64N(int64(startsWithin))))
		}
		defer func() {
			for i := range c.all {
				c.kill(i)
			}
			c.running.Wait()
		}()
		time.Sleep(startsWithin)
		do(t, c)
	})
}

// start creates host number i, which starts after a delay.
func (c *bootFleet) start(t *testing.T, i int, after time.Duration) {
	t.Helper()
	n := newTestNode(nil, i, func(o *peer.Options) { o.HTTP = &http.Client{Transport: c.direct} })
	c.all[i] = n
	ctx, cancel := context.WithCancel(t.Context())
	c.cancels[i] = cancel
	c.running.Go(func() {
		time.Sleep(after)
		_, handler := n.gossip.Handler()
		c.direct.serve(n.address.String(), handler)
		c.contactSeeds(ctx, i)
		n.gossip.Run(ctx)
	})
}

// contactSeeds contacts the seeds of host number i until one answers.
func (c *bootFleet) contactSeeds(ctx context.Context, i int) {
	for ctx.Err() == nil {
		contacted := false
		for seed := range min(seedCount, len(c.all)) {
			contacted = seed != i && c.all[i].gossip.ContactSeed(ctx, seedAddress(seed)) || contacted
		}
		if contacted {
			return
		}
		time.Sleep(seedRetryInterval)
	}
}

func seedAddress(seed int) netip.AddrPort {
	return netip.AddrPortFrom(hostAddress(seed), peerPort)
}

func (c *bootFleet) kill(i int) {
	c.cancels[i]()
	c.direct.serve(c.all[i].address.String(), nil)
	<-c.all[i].gossip.Done()
}

// knownShares returns the share of the live hosts that a host considers live: the mean and the
// minimum over all hosts.
func (c *bootFleet) knownShares() (mean, least float64) {
	least = 1
	for _, n := range c.all {
		live := 1
		for _, m := range n.view.Members() {
			if m.State == fleet.StateLive {
				live++
			}
		}
		share := float64(live) / float64(len(c.all))
		mean += share / float64(len(c.all))
		least = min(least, share)
	}
	return mean, least
}

// Guards against slow convergence at start: hosts that started at once knew 0.15 of 295 hosts
// after 2 s and 0.81 after 20 s, since all of them passed on the same few members. Each pool then
// had many owners, and work waited at servers that others had filled.
func TestFleetThatStartsAtOnceConverges(t *testing.T) {
	counts := []int{6, 61, 295}
	if *largest {
		counts = append(counts, largestCount)
	}
	for _, count := range counts {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			runBootFleet(t, count, func(t *testing.T, c *bootFleet) {
				time.Sleep(knownWithin)
				mean, least := c.knownShares()
				t.Logf("known after %v: %.3f, at least %.3f", knownWithin, mean, least)
				assert.Assert(t, least >= minKnownShare, "a host knows %.3f of the fleet, on average %.3f", least, mean)
				// At rest the traffic must be small.
				time.Sleep(time.Second)
				before := c.direct.bytes()
				const rest = 2 * time.Second
				time.Sleep(rest)
				after := c.direct.bytes()
				perHost := float64(after-before) / rest.Seconds() / float64(count)
				t.Logf("at rest: %.0f bytes a second from a host", perHost)
				assert.Assert(t, perHost < maxIdleBytes, "a host sends %.0f bytes a second at rest", perHost)
			})
		})
	}
}

// A third of the hosts lose power and start again together.
func TestRestartedHostsAreKnownWithinTwoSeconds(t *testing.T) {
	const count = 200
	runBootFleet(t, count, func(t *testing.T, c *bootFleet) {
		time.Sleep(10 * time.Second)
		for i := range count / 3 {
			c.kill(i)
		}
		time.Sleep(time.Second)
		for i := range count / 3 {
			c.start(t, i, 0)
		}
		time.Sleep(knownWithin)
		mean, least := c.knownShares()
		assert.Assert(t, least >= minKnownShare, "a host knows %.3f of the fleet, on average %.3f", least, mean)
	})
}

// Two halves of a partitioned fleet reconnect, on links of 10 Mbit/s.
func TestViewsConvergeAfterPartition(t *testing.T) {
	const count = 40
	runNodes(t, count, func(t *testing.T, network *memnet.Network, all []*testNode) {
		for _, n := range all {
			network.SetRate(n.address.Addr(), memnet.Mbit(10))
		}
		c := &bootFleet{all: all}
		time.Sleep(5 * time.Second)
		for i := range count / 2 {
			for j := count / 2; j < count; j++ {
				network.Cut(hostAddress(i), hostAddress(j))
				network.Cut(hostAddress(j), hostAddress(i))
			}
		}
		time.Sleep(30 * time.Second)
		_, least := c.knownShares()
		assert.Assert(t, least < minKnownShare, "the cut was not noticed")
		network.HealAll()
		// A host contacts a member that it considers gone at every fourth heartbeat.
		time.Sleep(4*peer.DefaultInterval + knownWithin)
		mean, least := c.knownShares()
		assert.Assert(t, least >= minKnownShare, "a host knows %.3f of the fleet, on average %.3f", least, mean)
	})
}
