// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/origin"
)

var measure = flag.Bool("measure", false, "print the table of docs/design/records-that-outlive-hosts.md")

// loss is what happens between the begin of the streams and the time when callers take them up.
type loss struct {
	name string
	// lost reports whether a host is lost, and its streams are taken up.
	lost func(i, count int) bool
	// lose loses the hosts, and returns when all that start again have started.
	lose func(t *testing.T, h *hosts, lost []origin.Host)
	// started reports whether the hosts are started again.
	started bool
	// after are the versions that serve afterwards.
	after []string
}

var (
	twoVersions   = []string{"v1", "v1.1"}
	threeVersions = []string{"v1", "v1.1", "v1.2"}
)

func inZone(i, _ int) bool { return i%3 == 0 }

func isAny(int, int) bool { return true }

var losses = []loss{
	{"callers' connections to a zone", inZone, loseNone, true, twoVersions},
	{"one host", func(i, _ int) bool { return i == 0 }, killAll, false, twoVersions},
	{"a zone", inZone, killAll, false, twoVersions},
	{"half", func(i, count int) bool { return i < count/2 }, killAll, false, twoVersions},
	{"nine in ten", func(i, _ int) bool { return i%10 != 0 }, killAll, false, twoVersions},
	{"a zone, then the next", func(i, _ int) bool { return i%3 != 2 }, killByZone, false, twoVersions},
	{"all killed in turn", isAny, killInTurn, true, twoVersions},
	{"all stopped in turn", isAny, stopInTurn, true, twoVersions},
	{"all at once", isAny, killAndStartAll, true, twoVersions},
	{"a zone, a third version starts", inZone, killAll, false, threeVersions},
	{"all killed in turn, a third version starts", isAny, killInTurn, true, threeVersions},
	{"all at once, a third version starts", isAny, killAndStartAll, true, threeVersions},
}

func loseNone(*testing.T, *hosts, []origin.Host) {}

func killAll(_ *testing.T, h *hosts, lost []origin.Host) {
	for _, p := range lost {
		h.kill(p)
	}
}

func killByZone(_ *testing.T, h *hosts, lost []origin.Host) {
	for _, zone := range []string{"zone-1", "zone-2"} {
		for _, p := range lost {
			if p.Zone == zone {
				h.kill(p)
			}
		}
		if zone == "zone-1" {
			time.Sleep(3 * time.Second)
		}
	}
}

func killAndStartAll(t *testing.T, h *hosts, lost []origin.Host) {
	t.Helper()
	killAll(t, h, lost)
	time.Sleep(300 * time.Millisecond)
	for _, p := range lost {
		h.start(t.Context(), p)
	}
	time.Sleep(time.Second)
}

// inTurn is how many hosts at most restart at a time.
func inTurn(h *hosts) int { return (len(h.peers) + 9) / 10 }

func killInTurn(t *testing.T, h *hosts, lost []origin.Host) {
	t.Helper()
	for some := range slices.Chunk(lost, inTurn(h)) {
		killAll(t, h, some)
		time.Sleep(200 * time.Millisecond)
		for _, p := range some {
			h.start(t.Context(), p)
		}
		time.Sleep(1500 * time.Millisecond)
	}
}

func stopInTurn(t *testing.T, h *hosts, lost []origin.Host) {
	t.Helper()
	var all sync.WaitGroup
	for some := range slices.Chunk(lost, inTurn(h)) {
		for _, p := range some {
			all.Go(func() {
				h.leave(p, 6*time.Second)
				time.Sleep(300 * time.Millisecond)
				h.start(t.Context(), p)
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(time.Second)
}

// outcome is how the streams of one loss are found with one design.
type outcome struct {
	// right, wrong and unknown are shares of the streams that are taken up.
	right, wrong, unknown float64
	// asked is how many hosts a take-up asks, and longest the longest time that it takes.
	asked   float64
	longest time.Duration
	// calls and records are sent to other hosts for each stream, repairCalls and repairRecords by each host
	// for all streams after they have begun.
	calls, records, repairCalls, repairRecords float64
}

// TestDesignsFindVersions compares ways to find out at which version a stream began, as hosts are lost
// and versions come and go. If some hosts stay, half of the streams are taken up before these have noticed
// the loss.
func TestDesignsFindVersions(t *testing.T) {
	t.Parallel()
	sizes := []int{8, 60}
	if *measure {
		sizes = append(sizes, 585)
	}
	for _, count := range sizes {
		for _, l := range losses {
			for _, name := range designNames() {
				if count > 8 && !*measure && name != "kept by owners, repaired" {
					continue
				}
				synctest.Test(t, func(t *testing.T) {
					h := newHosts(t.Context(), count)
					versions := &serving{before: twoVersions, now: twoVersions}
					o := replayLoss(t, h, designs[name](h, versions), l, versions)
					if *measure {
						t.Logf("| %d | %s | %s | %.3f | %.3f | %.3f | %.1f | %v | %.2f | %.2f | %.1f | %.1f |", count, l.name, name,
							o.right, o.wrong, o.unknown, o.asked, o.longest.Round(time.Millisecond), o.calls, o.records, o.repairCalls, o.repairRecords)
					}
					if name == "kept by owners, repaired" {
						checkRepaired(t, count, l, o)
					}
				})
			}
		}
	}
}

// checkRepaired checks what the design of Group must come to.
func checkRepaired(t *testing.T, count int, l loss, o outcome) {
	t.Helper()
	assert.Equal(t, o.wrong, 0.0)
	least := 1.0
	switch l.name {
	case "all at once", "all at once, a third version starts", "nine in ten":
		least = 0
	case "half":
		// All copies of some streams are among the lost hosts.
		least = 0.8
	case "all killed in turn", "all killed in turn, a third version starts":
		// All copies of a stream may be among those that are killed together.
		least = 0.995
	}
	assert.Check(t, o.right >= least, "%s of %d: %.3f", l.name, count, o.right)
}

// replayLoss begins streams at all hosts, loses some hosts, and takes the streams of these up at others.
func replayLoss(t *testing.T, h *hosts, d design, l loss, versions *serving) outcome {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	streams := max(600, 20*len(h.peers))
	var lost []origin.Host
	for i, p := range h.peers {
		if l.lost(i, len(h.peers)) {
			lost = append(lost, p)
		}
	}
	began := make(map[string]string)
	var taken []string
	for i := range streams {
		at := h.peers[random.IntN(len(h.peers))]
		stream := fmt.Sprint("s-", i)
		// Without a design that derives it, the version is drawn by load.
		version := versions.before[random.IntN(len(versions.before))]
		if by, ok := d.(derived); ok {
			version = by.choose(versions.before, stream)
		}
		began[stream] = version
		d.begin(at, stream, version)
		if slices.Contains(lost, at) {
			taken = append(taken, stream)
		}
	}
	time.Sleep(time.Second)
	synctest.Wait()
	calls, records := h.stored, h.sentRecords
	l.lose(t, h, lost)
	versions.now = l.after
	var o outcome
	for i, stream := range taken {
		if i == len(taken)/2 && !l.started {
			time.Sleep(lossTime + maxLag + time.Second)
		}
		up := h.up()
		sent := time.Now()
		version, asked := d.find(t, up[random.IntN(len(up))], stream)
		o.longest = max(o.longest, time.Since(sent))
		o.asked += float64(asked)
		switch found, ok := version.Get(); {
		case !ok:
			o.unknown++
		case found == began[stream]:
			o.right++
		default:
			o.wrong++
		}
	}
	synctest.Wait()
	n := float64(max(len(taken), 1))
	o.right, o.wrong, o.unknown, o.asked = o.right/n, o.wrong/n, o.unknown/n, o.asked/n
	o.calls, o.records = float64(calls)/float64(streams), float64(records)/float64(streams)
	size := float64(len(h.peers))
	o.repairCalls, o.repairRecords = float64(h.stored-calls)/size, float64(h.sentRecords-records)/size
	return o
}
