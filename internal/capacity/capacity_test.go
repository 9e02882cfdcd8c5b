// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package capacity_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/capacity"
	"github.com/wingvale/wingvale/internal/dispatch"
	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/table"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

var (
	measure  = flag.Bool("measure", false, "measure fleets and state")
	maxNodes = flag.Int("most", 300, "the largest fleet")
)

func TestReadsAndBytesAreIndependentOfFleetSize(t *testing.T) {
	var small, large capacity.Measurements
	for size, into := range map[int]*capacity.Measurements{6: &small, 18: &large} {
		synctest.Test(t, func(t *testing.T) {
			f, err := capacity.Measure(t.Context(), size)
			assert.NilError(t, err)
			*into = f
		})
	}
	assert.Assert(t, large.ReadsPerSecond <= 1.5*small.ReadsPerSecond, "got %.2f reads a second with 18 nodes, want at most 1.5 times the %.2f with 6 nodes", large.ReadsPerSecond, small.ReadsPerSecond)
	assert.Assert(t, large.BytesPerSecond <= 1.8*small.BytesPerSecond, "got %.0f bytes a second with 18 nodes, want at most 1.8 times the %.0f with 6 nodes", large.BytesPerSecond, small.BytesPerSecond)
	assert.Assert(t, large.ChangeTime <= 6*time.Second, "change was in force after %v, want at most 6s", large.ChangeTime)
	assert.Assert(t, large.RejoinTime <= 20*time.Second, "rejoined zone was up to date after %v, want at most 20s", large.RejoinTime)
}

func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with -args -measure")
	}
	for _, nodes := range []int{9, 30, 100, 300} {
		if nodes > *maxNodes {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			f, err := capacity.Measure(t.Context(), nodes)
			assert.NilError(t, err)
			t.Logf("| %d | %.2f | %.0f | %v | %v | %v | %v | %v |", f.Nodes, f.ReadsPerSecond, f.BytesPerSecond, f.CPUPerSecond, f.ChangeTime, f.StaleChangeTime, f.RejoinTime, f.LeavingTime)
		})
	}
	t.Run("state", measureState)
}

// heapBytes returns the heap bytes that one call of add keeps in use.
func heapBytes(count int, add func(i int)) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range count {
		add(i)
	}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / float64(count)
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

func measureState(t *testing.T) {
	for _, count := range []int{1000, 2500, 5000} {
		values := published.New(pipeline.Decode)
		bytesEach := heapBytes(count, func(i int) {
			key := fmt.Sprintf("workspaces/w%d", i)
			value := fmt.Sprintf(`{"format":1,"name":"w%d","customer":"c","weight":1,"pipelines":{"a":{},"b":{"max_wait":"2s"},"c":{"model":"m"}}}`, i)
			assert.Equal(t, len(values.Offer(published.Entry{Key: key, Revision: uint64(i + 1), Data: []byte(value)})), 1)
		})
		t.Logf("workspace: %d -> %.0f bytes each", count, bytesEach)
		runtime.KeepAlive(values)

		hosts := published.New(published.DecodeHost)
		bytesEach = heapBytes(count, func(i int) {
			value := fmt.Sprintf(`{"address":%q,"role":"pool","pool":"p%d","zone":"a"}`, address(i), i%20)
			assert.Equal(t, len(hosts.Offer(published.Entry{Key: address(i).String(), Revision: uint64(i + 1), Data: []byte(value)})), 1)
		})
		t.Logf("host line: %d -> %.0f bytes each", count, bytesEach)
		runtime.KeepAlive(hosts)

		requests := table.New(address(1), table.Options{})
		bytesEach = heapBytes(count, func(int) {
			run, _, err := requests.Begin(t.Context(), requests.Issue(1)[0], request.Spec{Workspace: "w", Pipeline: "p", Input: "How do I mix alpine grey?"})
			assert.NilError(t, err)
			run.Accept(request.Accepted{ID: run.ID, Attempt: 1})
			for range 17 {
				run.Chunk("token ")
			}
			run.End(time.Now(), request.Event{Type: request.EventDone, Done: &request.Done{ID: run.ID}})
			requests.MarkEnded(run)
		})
		t.Logf("ended request of 17 chunks: %d -> %.0f bytes each", count, bytesEach)
		bytesEach = heapBytes(count, func(int) {
			run, _, err := requests.Begin(t.Context(), requests.Issue(1)[0], request.Spec{})
			assert.NilError(t, err)
			requests.Refuse(run, verdict.NotRun, verdict.ReasonOverload)
		})
		t.Logf("refused id: %d -> %.0f bytes each", count, bytesEach)
		runtime.KeepAlive(requests)
	}
	for _, count := range []int{9, 100, 560} {
		view := fleet.New(fleet.Member{Address: address(0), Peer: address(0), Zone: "a"}, time.Now(), fleet.Options{})
		bytesEach := heapBytes(count, func(i int) {
			view.Merge(time.Now(), fleet.Member{Address: address(i + 1), Peer: address(i + 1), Zone: "luzern-a", Beat: 1790000000000})
		})
		random := rand.New(rand.NewPCG(1, 1))
		size := 0
		for range 100 {
			size += messageSize(view.News(time.Now(), random))
		}
		t.Logf("member: %d -> %.0f bytes each; heartbeat news %d bytes", count, bytesEach, size/100)
	}
}

func messageSize(news fleet.News) int {
	m := &peerpb.ExchangeRequest{}
	for _, member := range news.Members {
		a, _ := member.Address.MarshalBinary()
		m.Members = append(m.Members, &peerpb.Member{Address: a, Peer: a, Zone: member.Zone, Incarnation: uint64(member.Incarnation), Beat: member.Beat})
	}
	return proto.Size(m)
}

func BenchmarkGrant(b *testing.B) {
	for _, servers := range []int{10, 64, 250} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			p := dispatch.New(dispatch.Options{Zone: "a"})
			var list []dispatch.Server
			for i := range servers {
				list = append(list, dispatch.Server{Address: address(i), Zone: "a"})
			}
			p.SetServers(list)
			task := dispatch.Task{}
			task.Latest = time.Now().Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				g, err := p.Acquire(b.Context(), task)
				if err != nil {
					b.Fatal(err)
				}
				g.Done(dispatch.Outcome{})
			}
		})
	}
}
